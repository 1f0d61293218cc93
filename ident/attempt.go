package ident

// Attempt identifies one dispatch of one request to one upstream. It is unique
// across routers and never reused.
type Attempt string
