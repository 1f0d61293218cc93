package originstore

import (
	"context"
	"fmt"
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
// that were skipped.
func Load(ctx context.Context, s metastore.Store, now time.Time) (streams map[resume.StreamKey]string, skipped []error, err error) {
	objects, _, err := s.List(ctx, prefix)
	if err != nil {
		return nil, nil, fmt.Errorf("list streams: %w", err)
	}
	streams = make(map[resume.StreamKey]string)
	for _, o := range objects {
		chunk := make(map[resume.StreamKey]string)
		at, err := decodeChunk(o.Value, func(key resume.StreamKey, software string) { chunk[key] = software })
		if err != nil {
			skipped = append(skipped, fmt.Errorf("%s: %w", o.Key, err))
			continue
		}
		if now.Sub(at) > retention+maxClockError || len(streams)+len(chunk) > maxLoaded {
			continue
		}
		for key, software := range chunk {
			streams[key] = software
		}
	}
	return streams, skipped, nil
}
