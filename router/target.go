package router

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/routing"
)

// target is the agent that an attempt is sent to.
type target struct {
	vm          ident.VM
	address     string
	incarnation ident.Incarnation
	upstream    ident.Upstream
	route       routing.Target
	started     time.Time
	priority    ident.Priority
}
