package main

import (
	"github.com/laureltally/laureltally/drain"
	"github.com/laureltally/laureltally/ident"
)

// drainFlags are the arguments of drain and undrain: the VM and the operator.
type drainFlags struct {
	platformFlags
	actorFlags
	VM ident.VM `arg:"positional,required" placeholder:"VM"`
}

func (f drainFlags) request() drain.Request {
	return drain.Request{VM: f.VM, Environment: f.Environment, Actor: f.Actor, Reason: f.Reason}
}
