package ident

// Adapter is the name of an adapter of one model. Empty means the base model.
type Adapter string
