// Package config defines the document of an environment and the settings of the
// daemons: their types, defaults and validation. It decodes both from JSON with
// comments.
package config
