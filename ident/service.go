package ident

// Service names a plain service that requests are routed to.
type Service string
