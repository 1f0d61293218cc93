// Package standin has small fakes of what the platform gives, for tests and
// trials: the object API with its VM list, the weight store, a model engine and
// a plain service. Each is an http.Handler with switches for its faults and
// counters under /control/.
package standin
