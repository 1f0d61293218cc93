package config

// defaulter is implemented by types whose fields have defaults. The defaults are
// set before decoding, so that an explicit zero isn't taken for a missing field.
type defaulter interface{ setDefaults() }
