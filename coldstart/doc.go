// Package coldstart decides on a router where to send a request whose model is
// not loaded or has too few replicas: on which VM to load it, when to load
// another replica, and when to start another load because one is slow.
//
// A Chooser is a pure state machine: it has no clock and is not safe for
// concurrent use. Routers share no state. They load on the same VM because they
// sort the candidates by slowly changing facts: the tier that caches the
// weights and the rendezvous rank of the VM for the model. Fast-changing facts
// such as queue lengths only decide whether to load another replica at all.
package coldstart
