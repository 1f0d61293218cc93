package ident

// Environment is the name of one product of an operator, for example "muotiennuste".
type Environment string
