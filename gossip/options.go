package gossip

import "github.com/laureltally/laureltally/ident"

// DefaultMaxReplyBytes is the default of Options.MaxReplyBytes.
const DefaultMaxReplyBytes = 256 << 10

// Options configures a View.
type Options struct {
	// Log identifies the log. Each incarnation of a router draws it at random; it
	// is not zero.
	Log ident.Incarnation
	// LoadClasses also publishes changes of load, when the number of running or
	// waiting requests reaches another power of two. Without it, changes of load
	// are not published.
	LoadClasses bool
	// MaxReplyBytes bounds the encoded reports of one reply, in bytes. The default
	// is DefaultMaxReplyBytes.
	MaxReplyBytes int
}
