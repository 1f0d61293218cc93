package ident

// Adapter names an adapter of one model. The empty name means the base model.
type Adapter string
