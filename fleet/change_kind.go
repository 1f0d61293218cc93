package fleet

// ChangeKind is how a VM changed.
type ChangeKind string

// The kinds of changes.
const (
	Joined    ChangeKind = "joined"
	Updated   ChangeKind = "updated"
	Restarted ChangeKind = "restarted"
	Leaving   ChangeKind = "leaving"
	Removed   ChangeKind = "gone"
)
