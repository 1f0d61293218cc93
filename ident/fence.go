package ident

// Fence is a fencing number. Of two orders about the same replica, the one
// with the lower fence is obsolete. Zero means that there is none.
type Fence uint64
