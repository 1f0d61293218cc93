// Package hotpath replays seeded arrivals at loaded models on virtual time
// through the decisions of admission, routing, retry and eject. Upstreams are
// small fakes: places, a distribution of run times and a speed. Baselines that
// those decisions are compared with live here too.
package hotpath
