package gossip

import "github.com/laureltally/laureltally/ident"

// DefaultMaxReplyBytes bounds the reports of one reply.
const DefaultMaxReplyBytes = 256 << 10

// Options sets a View.
type Options struct {
	// Log is drawn at random by each incarnation of a router, and not zero.
	Log ident.Incarnation
	// LoadClasses has changes of load told too, when the number of running or
	// waiting requests reaches another power of two. Without it, load is not
	// told.
	LoadClasses bool
	// MaxReplyBytes bounds the reports of one reply, in bytes of their
	// encoding. The default is DefaultMaxReplyBytes.
	MaxReplyBytes int
}
