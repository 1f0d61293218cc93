package ident

// Region names a region of the platform.
type Region string
