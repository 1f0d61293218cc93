package response

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// buffer is the kept part of one answer. The registry's lock guards it.
//
// Invariant: segments hold exactly the bytes [base, written), in order. It
// holds because bytes are only added at written and only dropped, a segment at
// a time, at base. A byte once in a segment never changes, so readers may share
// the segment's memory without the lock.
type buffer struct {
	attempt ident.Attempt
	keep    bool
	// segmentBytes is the largest size of a segment.
	segmentBytes int
	keepFor      time.Duration
	head         *wire.Head
	segments     [][]byte
	base         int64
	written      int64
	// last is the End, Abort or Refusal that ended the answer, or nil.
	last    wire.Message
	endedAt time.Time
	readers map[*Reader]struct{}
	// changed is closed and replaced whenever a waiting reader or writer might
	// go on.
	changed chan struct{}
}

// segmentsPerTail is the least number of segments in a full tail.
const segmentsPerTail = 8

func newBuffer(a ident.Attempt, keep bool, keepFor time.Duration, tailBytes int64) *buffer {
	return &buffer{
		attempt: a, keep: keep, keepFor: keepFor,
		segmentBytes: int(max(1, min(wire.ChunkBytes, tailBytes/segmentsPerTail))),
		readers:      make(map[*Reader]struct{}), changed: make(chan struct{}),
	}
}

func (b *buffer) kept() int64 { return b.written - b.base }

func (b *buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// add appends p, which is at most segmentBytes long.
func (b *buffer) add(p []byte) {
	n := len(b.segments)
	if n > 0 && len(b.segments[n-1])+len(p) <= b.segmentBytes {
		b.segments[n-1] = append(b.segments[n-1], p...)
	} else {
		b.segments = append(b.segments, append([]byte(nil), p...))
	}
	b.written += int64(len(p))
}

// slowest returns the lowest position of the live readers, and false if there
// is none.
func (b *buffer) slowest() (int64, bool) {
	low, found := b.written, false
	for r := range b.readers {
		found = true
		low = min(low, r.offset)
	}
	return low, found
}

// dropTo drops whole segments that end at or below limit while more than want
// bytes are kept, and returns how many bytes that freed.
func (b *buffer) dropTo(limit, want int64) int64 {
	var freed int64
	for len(b.segments) > 0 && b.kept() > want {
		size := int64(len(b.segments[0]))
		if b.base+size > limit {
			break
		}
		b.segments[0] = nil
		b.segments = b.segments[1:]
		b.base += size
		freed += size
	}
	return freed
}

// at returns the bytes from offset to the end of its segment. The offset lies
// in [base, written).
func (b *buffer) at(offset int64) []byte {
	start := b.base
	for _, s := range b.segments {
		if end := start + int64(len(s)); offset < end {
			return s[offset-start : len(s) : len(s)]
		}
		start += int64(len(s))
	}
	return nil
}
