// Package residency decides which models and adapters the engine beside a
// sidecar holds, and which requests it takes.
//
// Machine is a pure state machine: it is given the engine's own reports, the
// requests for places and the outcomes of orders, each with the time, and
// returns what to do. It answers these load patterns:
//
//   - more requests than the engine can serve in time: a limit that follows the
//     delays that requests meet, a queue no longer than the objective allows, and
//     a refusal at once beyond it;
//   - many rare models in turn: idle models make way in the order of how little
//     they are asked for, and requests that wait longest are served first;
//   - a model that was never here: a place at the weight store is asked for, and
//     meanwhile the engine serves what it holds.
package residency
