// Package agent runs beside one upstream VM. It is the only process that sends
// the upstream orders and requests. It queues attempts, keeps models loaded
// within the VM's slots and memory, retains responses so that routers can
// resume them, and reports the state of attempts.
package agent
