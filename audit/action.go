package audit

// Action is the kind of an operator's change.
type Action string

// The actions.
const (
	ActionApply    Action = "apply"
	ActionPromote  Action = "promote"
	ActionDrain    Action = "drain"
	ActionUndrain  Action = "undrain"
	ActionKeyCA    Action = "keys.ca"
	ActionKeyIssue Action = "keys.issue"
)
