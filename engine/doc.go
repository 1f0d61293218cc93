// Package engine is the seam to a model engine: its state, the orders it takes,
// its load report and its cache events, as typed messages of its admin API.
//
//	GET  /admin/state                -> State
//	POST /admin/orders        Order  -> 202, or 4xx with Problem
//	GET  /admin/load                 -> LoadReport
//	GET  /admin/cache-events?since=N -> CacheEvents
//
// Requests are served under the OpenAI-compatible paths /v1/chat/completions
// and /v1/completions. An order runs after it was accepted; its outcome is
// known only from the state.
package engine
