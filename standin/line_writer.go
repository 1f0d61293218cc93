package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// lineWriter writes the lines of a watch and its heartbeats.
type lineWriter struct {
	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
	silent  func() bool
}

// write sends one line. A broken connection is noticed by the request's context.
func (l *lineWriter) write(line objecthttp.WatchLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(l.w).Encode(line)
	_ = l.control.Flush()
}

// beat sends heartbeats until ctx ends, the first one at once.
func (l *lineWriter) beat(ctx context.Context, every time.Duration) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		if !l.silent() {
			l.write(objecthttp.WatchLine{})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
