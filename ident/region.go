package ident

// Region is the name of a region of the platform.
type Region string
