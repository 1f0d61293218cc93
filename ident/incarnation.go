package ident

// Incarnation distinguishes the successive lives of one process. It is drawn
// at random when the process starts and is never zero.
type Incarnation uint64
