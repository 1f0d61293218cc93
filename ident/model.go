package ident

// Model is the name of a model in one environment.
type Model string
