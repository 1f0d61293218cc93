// Package residency decides which models and adapters the engine beside a sidecar
// keeps loaded, and which requests it admits.
//
// Scheduler is a pure state machine without I/O: its inputs are snapshots of the
// engine, reservation requests and the results of orders, each with the current time;
// it returns the actions to take. It handles these load patterns:
//
//   - more requests than the engine can serve in time: a concurrency limit that
//     adapts to observed latencies, a queue no longer than the objective allows,
//     and immediate refusal of requests beyond it;
//   - engines on shared machines, whose speed differs and which are slow for some hundred
//     milliseconds at a time: streams and prompts are admitted at the engine's own pace;
//   - many rarely used models in turn: idle models are unloaded in ascending order of
//     their request rate, and models are loaded first for the requests that are due
//     first;
//   - a model that the VM does not have: a permit to load it from the weight store
//     is requested, and meanwhile the engine serves the loaded models.
package residency
