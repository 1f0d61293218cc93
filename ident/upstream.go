package ident

// Upstream is the name of a group of interchangeable back ends, for example the
// drafting engines of an environment. A VM belongs to exactly one upstream.
type Upstream string
