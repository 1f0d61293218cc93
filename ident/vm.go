package ident

// VM identifies one VM instance. Unlike a VM's address, it is never reused.
type VM string
