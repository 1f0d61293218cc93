// Package hotpath simulates requests for loaded models on virtual time, with
// seeded arrivals, and runs them through the admission, routing, retry and outlier
// packages. Upstreams are simple models: a concurrency, a distribution of run times
// and a slowdown factor. The package also has the baseline policies to compare
// with.
package hotpath
