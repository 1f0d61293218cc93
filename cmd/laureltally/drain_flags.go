package main

import (
	"github.com/laureltally/laureltally/drain"
	"github.com/laureltally/laureltally/ident"
)

// drainFlags name the VM and who acts.
type drainFlags struct {
	platformFlags
	actorFlags
	VM ident.VM `arg:"positional,required" placeholder:"VM"`
}

func (f drainFlags) request() drain.Request {
	return drain.Request{VM: f.VM, Environment: f.Environment, Actor: f.Actor, Reason: f.Reason}
}
