package router

import "github.com/laureltally/laureltally/ident"

// scoped qualifies a name by its environment, because two environments may use the
// same names for models and upstreams.
func scoped[T ~string](env ident.Environment, name T) T {
	return T(string(env) + "/" + string(name))
}
