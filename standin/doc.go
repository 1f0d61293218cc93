// Package standin provides stand-ins for the platform and for upstreams, for tests
// and local runs: the object API with its VM list, the weight store, a model engine
// and a plain service. Each is an http.Handler whose paths under /control/ inject
// faults and return counters.
package standin
