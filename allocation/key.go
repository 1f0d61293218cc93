package allocation

import (
	"net/url"
	"strings"

	"github.com/laureltally/laureltally/ident"
)

const root = "grants/"

// KeyPrefix returns the prefix of the keys of the grants of environment env.
func KeyPrefix(env ident.Environment) string { return root + url.PathEscape(string(env)) + "/" }

// Key returns the key of the grant of model m.
func Key(env ident.Environment, m ident.Model) string {
	return KeyPrefix(env) + url.PathEscape(string(m))
}

// ModelFromKey returns the model whose grant is kept at key, if key is one of env.
func ModelFromKey(env ident.Environment, key string) (ident.Model, bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix(env))
	if !ok || rest == "" {
		return "", false
	}
	m, err := url.PathUnescape(rest)
	return ident.Model(m), err == nil
}
