// Package coldstart decides at a router where a request for a model goes that
// is not loaded, or not loaded often enough: which of the model's slots is
// woken, when the next one is, and when a slow load is given to another slot.
//
// A Chooser is a pure state machine: it has no clock and is not safe for
// concurrent use. Routers share no state. They wake the same slot because they
// put the slots in the same order, which depends on facts that change seldom:
// where the weights are cached, and the rendezvous rank of the VM for the
// model. Facts of the moment, such as queues, only decide whether another slot
// is woken at all.
package coldstart
