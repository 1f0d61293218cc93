// Package placement decides for a router which upstream VM a request is sent to,
// based on registrations, agents' reports and the router's own requests. The agent of
// a VM is the sidecar of its engine.
//
// Balancer is a pure state machine: the caller passes in the time; it does no I/O and
// is not safe for concurrent use. It handles these load patterns:
//
//   - many requests for a few models: the least loaded VM that has loaded the
//     model, own region first (package routing);
//   - rare models that no VM has loaded: the VM that can load the model soonest,
//     from memory or disk in preference to the weight store;
//   - a model whose VMs are all full: another VM that has the weights in memory or
//     on disk, if loading them takes less time than the queue.
package placement
