// Package config holds the document of an environment and the settings of the
// daemons: their types, defaults, checks and the reading of JSON with comments.
package config
