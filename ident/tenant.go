package ident

// Tenant is the name of a customer whose callers share API keys and an allotment.
type Tenant string
