package ident

// Zone is the name of an availability zone. It is unique across regions.
type Zone string
