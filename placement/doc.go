// Package placement decides at a router which upstream VM a request goes to,
// from registrations, the reports of agents and the router's own requests.
//
// Board is a pure state machine: it is told the time, does no I/O and is not
// safe for concurrent use. It answers these load patterns:
//
//   - many requests for a few models: the least loaded VM that has the model
//     loaded, own region first (package routing);
//   - rare models that no VM has loaded: the VM that can load it soonest, from
//     memory or disk before the weight store;
//   - a model whose VMs are all full: another VM that has the weights at hand, if
//     loading them takes less time than the queue.
package placement
