package ident

// Upstream names a group of interchangeable back ends, for example the
// drafting engines of an environment. One VM serves exactly one upstream.
type Upstream string
