package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// lineWriter writes the lines of a watch and its heartbeats. It sends no heartbeats
// while suppressHeartbeats returns true.
type lineWriter struct {
	mu                 sync.Mutex
	w                  http.ResponseWriter
	control            *http.ResponseController
	suppressHeartbeats func() bool
}

// write sends one line. It ignores errors, since a broken connection cancels the
// request's context.
func (l *lineWriter) write(line objecthttp.WatchLine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = json.NewEncoder(l.w).Encode(line)
	_ = l.control.Flush()
}

// sendHeartbeats sends heartbeats until ctx ends, the first one at once.
func (l *lineWriter) sendHeartbeats(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if !l.suppressHeartbeats() {
			l.write(objecthttp.WatchLine{})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
