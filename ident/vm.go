package ident

// VM identifies one VM instance. It is never reused, unlike a VM's address.
type VM string
