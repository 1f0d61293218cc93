package grant

import (
	"net/url"
	"strings"

	"github.com/laureltally/laureltally/ident"
)

const root = "grants/"

// Prefix returns the prefix of the keys of the grants of environment env.
func Prefix(env ident.Environment) string { return root + url.PathEscape(string(env)) + "/" }

// Key returns the key of the grant of model m.
func Key(env ident.Environment, m ident.Model) string {
	return Prefix(env) + url.PathEscape(string(m))
}

// ModelOf returns the model whose grant is kept at key, if key is one of env.
func ModelOf(env ident.Environment, key string) (ident.Model, bool) {
	rest, ok := strings.CutPrefix(key, Prefix(env))
	if !ok || rest == "" {
		return "", false
	}
	m, err := url.PathUnescape(rest)
	return ident.Model(m), err == nil
}
