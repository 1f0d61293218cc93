package outlier

// Phase is the state of a VM.
type Phase string

// The phases of a VM.
const (
	Healthy    Phase = "healthy"
	Ejected    Phase = "ejected"
	Probing    Phase = "probing"
	Recovering Phase = "recovering"
)
