package config

// defaulter is a type whose fields have defaults. They are set before its text
// is read, so that an explicit zero is not taken for a missing field.
type defaulter interface{ setDefaults() }
