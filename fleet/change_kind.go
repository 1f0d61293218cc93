package fleet

// ChangeKind tells what became of a VM.
type ChangeKind string

// The kinds of changes.
const (
	Joined    ChangeKind = "joined"
	Updated   ChangeKind = "updated"
	Restarted ChangeKind = "restarted"
	Leaving   ChangeKind = "leaving"
	Removed   ChangeKind = "gone"
)
