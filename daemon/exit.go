package daemon

// The exit codes of all programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)
