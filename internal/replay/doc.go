// Package replay drives the decisions on cold starts, idle replicas and the
// weight store with seeded arrivals on virtual time, and measures cold-start
// times and idle accelerator hours. Engines, links and the weight store are
// small fakes: a load lasts a time by tier and size, a request a drawn time.
package replay
