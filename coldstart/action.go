package coldstart

// Action tells what a request meets at the chosen VM.
type Action int

// The actions.
const (
	// Serve sends the request to a loaded replica.
	Serve Action = iota
	// Join sends the request to a replica that is being loaded.
	Join
	// Wake sends the request to a VM that is to load the model.
	Wake
)

// String implements fmt.Stringer.
func (a Action) String() string {
	switch a {
	case Serve:
		return "serve"
	case Join:
		return "join"
	case Wake:
		return "wake"
	}
	return "unknown"
}
