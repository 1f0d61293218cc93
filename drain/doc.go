// Package drain keeps the orders by which operators take VMs out of service:
// an object drains/{vm} whose order has not ended means that the VM shall get no
// new work.
package drain
