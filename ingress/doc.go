// Package ingress serves callers on an entry VM: it finds the route of a
// request, asks the placement board for a VM, reserves a place with the VM's
// sidecar where there is one, forwards the request and relays the answer.
//
// Server does the I/O. What it decides lies in packages serving, fleet,
// placement, eject and retry, and in the outcome table of this package.
package ingress
