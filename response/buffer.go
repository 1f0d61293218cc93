package response

import (
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// buffer holds the retained part of one response. The registry's lock guards
// it.
//
// Invariant: segments hold exactly the bytes [start, written), in order. Bytes
// are only added at written and only dropped at start, a segment at a time.
// Bytes in a segment never change, so readers may share the segment's memory
// without the lock.
type buffer struct {
	attempt ident.Attempt
	// retain is set for a response started with BeginRetained.
	retain bool
	// segmentBytes is the maximum size of a segment.
	segmentBytes int
	retention    time.Duration
	head         *wire.Head
	segments     [][]byte
	start        int64
	written      int64
	// final is the End, Abort or Refusal that ended the response, or nil.
	final   wire.Message
	endedAt time.Time
	readers map[*Reader]struct{}
	// changed is closed and replaced whenever a waiting reader or writer may be
	// able to continue.
	changed chan struct{}
}

// segmentsPerTail is the minimum number of segments in a full tail.
const segmentsPerTail = 8

func newBuffer(a ident.Attempt, retain bool, retention time.Duration, tailBytes int64) *buffer {
	return &buffer{
		attempt: a, retain: retain, retention: retention,
		segmentBytes: int(max(1, min(wire.ChunkBytes, tailBytes/segmentsPerTail))),
		readers:      make(map[*Reader]struct{}), changed: make(chan struct{}),
	}
}

func (b *buffer) size() int64 { return b.written - b.start }

func (b *buffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// add appends p, which must be at most segmentBytes long.
func (b *buffer) add(p []byte) {
	n := len(b.segments)
	if n > 0 && len(b.segments[n-1])+len(p) <= b.segmentBytes {
		b.segments[n-1] = append(b.segments[n-1], p...)
	} else {
		b.segments = append(b.segments, append([]byte(nil), p...))
	}
	b.written += int64(len(p))
}

// slowestOffset returns the lowest offset of the attached readers, and false if
// there are none.
func (b *buffer) slowestOffset() (int64, bool) {
	low, found := b.written, false
	for r := range b.readers {
		found = true
		low = min(low, r.offset)
	}
	return low, found
}

// dropBefore drops whole segments that end at or before limit while more than
// target bytes are retained, and returns the number of bytes freed.
func (b *buffer) dropBefore(limit, target int64) int64 {
	var freed int64
	for len(b.segments) > 0 && b.size() > target {
		segmentSize := int64(len(b.segments[0]))
		if b.start+segmentSize > limit {
			break
		}
		b.segments[0] = nil
		b.segments = b.segments[1:]
		b.start += segmentSize
		freed += segmentSize
	}
	return freed
}

// bytesAt returns the bytes from offset to the end of its segment. The offset
// must be in [start, written).
func (b *buffer) bytesAt(offset int64) []byte {
	segmentStart := b.start
	for _, s := range b.segments {
		if end := segmentStart + int64(len(s)); offset < end {
			return s[offset-segmentStart : len(s) : len(s)]
		}
		segmentStart += int64(len(s))
	}
	return nil
}
