package ident

// Priority is the priority of work within an environment. Zero is the most urgent.
type Priority int
