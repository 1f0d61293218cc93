package ident

// Service is the name of a plain service that requests are routed to.
type Service string
