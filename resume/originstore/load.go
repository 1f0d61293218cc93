package originstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/resume"
)

const (
	// retention is how long a chunk is kept after its newest stream. Callers resume a stream
	// within its timeout, some tens of seconds.
	retention = time.Minute
	// maxClockError bounds the difference between the clocks of two machines.
	maxClockError = time.Minute
	// maxLoaded bounds the streams that are loaded; each takes about 50 bytes.
	maxLoaded = 1 << 17
)

// Load returns the versions that began streams, as they are in the store, and the errors of chunks
// that were skipped. If there are too many streams, the oldest chunks are left out.
func Load(ctx context.Context, s metastore.Store, now time.Time) (streams map[resume.StreamKey]string, skipped []error, err error) {
	objects, _, err := s.List(ctx, prefix)
	if err != nil {
		return nil, nil, fmt.Errorf("list streams: %w", err)
	}
	var chunks []loadedChunk
	for _, o := range objects {
		c := loadedChunk{streams: make(map[resume.StreamKey]string)}
		c.at, err = decodeChunk(o.Value, func(key resume.StreamKey, software string) { c.streams[key] = software })
		switch {
		case err != nil:
			skipped = append(skipped, fmt.Errorf("%s: %w", o.Key, err))
		case now.Sub(c.at) <= retention+maxClockError:
			chunks = append(chunks, c)
		}
	}
	slices.SortFunc(chunks, func(a, b loadedChunk) int { return b.at.Compare(a.at) })
	streams = make(map[resume.StreamKey]string)
	for _, c := range chunks {
		if len(streams)+len(c.streams) > maxLoaded {
			break
		}
		maps.Copy(streams, c.streams)
	}
	return streams, skipped, nil
}

// loadedChunk is a chunk with the time of its newest write.
type loadedChunk struct {
	at      time.Time
	streams map[resume.StreamKey]string
}
