package ident

// Fence is a fencing token. Of two orders for the same replica, the one with the
// lower token is obsolete. Zero means no token.
type Fence uint64
