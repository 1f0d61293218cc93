package ident

// Environment names one product of an operator, for example "muotiennuste".
type Environment string
