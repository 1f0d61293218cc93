package main

// actorFlags say who acts, for the audit records.
type actorFlags struct {
	Actor  string `arg:"--actor,required,env:LAURELTALLY_ACTOR" placeholder:"NAME" help:"who acts, for the audit records"`
	Reason string `arg:"--reason" placeholder:"TEXT" help:"why, for the audit records"`
}
