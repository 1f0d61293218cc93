package coldstart

// Action is what happens to a request at the chosen VM.
type Action int

// Actions of a Choice.
const (
	// Serve sends the request to a loaded replica.
	Serve Action = iota
	// Join sends the request to a replica that is being loaded.
	Join
	// StartLoad sends the request to a VM that has to load the model first.
	StartLoad
)

// String implements fmt.Stringer.
func (a Action) String() string {
	switch a {
	case Serve:
		return "serve"
	case Join:
		return "join"
	case StartLoad:
		return "wake"
	}
	return "unknown"
}
