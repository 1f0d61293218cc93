package router

import "github.com/laureltally/laureltally/ident"

// scoped joins a name to its environment. Two environments may use the same
// names for their models and upstreams.
func scoped[T ~string](env ident.Environment, name T) T {
	return T(string(env) + "/" + string(name))
}
