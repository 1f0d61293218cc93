// Package agent runs beside one upstream VM. It is the only process that gives
// the upstream orders and sends it requests: it queues attempts, keeps models
// loaded within the VM's rights and memory, holds answers so that routers can
// resume them, and says truthfully what became of an attempt.
package agent
