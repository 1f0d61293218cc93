package allocation

import (
	"net/url"
	"strings"

	"github.com/laureltally/laureltally/ident"
)

const keyRoot = "grants/"

// KeyPrefix returns the prefix of the object keys of environment env.
func KeyPrefix(env ident.Environment) string { return keyRoot + url.PathEscape(string(env)) + "/" }

// Key returns the object key of the allocation of model m.
func Key(env ident.Environment, m ident.Model) string {
	return KeyPrefix(env) + url.PathEscape(string(m))
}

// ModelFromKey returns the model whose allocation is stored at key, and whether
// key belongs to env.
func ModelFromKey(env ident.Environment, key string) (ident.Model, bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix(env))
	if !ok || rest == "" {
		return "", false
	}
	m, err := url.PathUnescape(rest)
	return ident.Model(m), err == nil
}
