package ident

// Zone names an availability zone. It is unique across regions.
type Zone string
