package ident

// Priority orders work within an environment. Zero is the most urgent.
type Priority int
