package harness

import "time"

// Options configures a Cluster.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Routers and Engines are how many of each are started; there is one plain
	// service.
	Routers, Engines int
	// IgnoreFences makes the engines take orders whatever their fence.
	IgnoreFences bool
	// TokensPerSecond is the token rate of each engine, 0 for no limit, and
	// TimeToFirstToken its time to the first token.
	TokensPerSecond  float64
	TimeToFirstToken time.Duration
}
