package ident

// Incarnation distinguishes the successive runs of one process. It is chosen at
// random when the process starts and is never zero.
type Incarnation uint64
