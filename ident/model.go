package ident

// Model names a model of one environment.
type Model string
