package ident

// Service is the name of a plain service, one without models, that requests are
// routed to.
type Service string
