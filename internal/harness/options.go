package harness

import "time"

// Options configures a Cluster.
type Options struct {
	// Bin is the directory with the programs.
	Bin string
	// Routers and Engines are how many of each are started. One plain service is
	// started besides.
	Routers, Engines int
	// IgnoreFences makes the engines accept orders with any fencing token.
	IgnoreFences bool
	// TokensPerSecond is the token rate of each engine, zero for no limit, and
	// TimeToFirstToken its time to first token.
	TokensPerSecond  float64
	TimeToFirstToken time.Duration
}
