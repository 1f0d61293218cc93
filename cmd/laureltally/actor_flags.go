package main

// actorFlags are the flags that describe the operator in audit records.
type actorFlags struct {
	Actor  string `arg:"--actor,required,env:LAURELTALLY_ACTOR" placeholder:"NAME" help:"name of the operator, for the audit records"`
	Reason string `arg:"--reason" placeholder:"TEXT" help:"reason of the change, for the audit records"`
}
