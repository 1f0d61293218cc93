// Package ingress serves callers on an entry VM: it finds the route of a request,
// chooses a VM with package placement, makes a reservation at the VM's sidecar if
// there is one, forwards the request and relays the response.
//
// Server does the I/O. The decisions are made in packages serving, fleet, placement,
// outlier and retry, and in attemptState of this package.
package ingress
