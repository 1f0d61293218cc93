// Package engine defines the admin API of a model engine: its state, the orders
// it accepts, its load report and its cache events.
//
//	GET  /admin/state                -> State
//	POST /admin/orders        Order  -> 202, or 4xx with Problem
//	GET  /admin/load                 -> LoadReport
//	GET  /admin/cache-events?since=N -> CacheEvents
//
// Requests are served under the OpenAI-compatible paths /v1/chat/completions
// and /v1/completions. An order runs after it has been accepted; only the state
// shows its outcome.
package engine
