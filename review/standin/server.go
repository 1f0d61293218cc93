package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// beatInterval is the interval at which a server renews its entry in the store.
const beatInterval = 1200 * time.Millisecond

// Arrival is one request that reached a server.
type Arrival struct {
	ID, Instance string
	At           time.Time
	// Ran is set if the server began to work on it, and Answered once the whole answer was
	// written.
	Ran, Answered bool
}

// Server is a replica of a plain service.
type Server struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Work is how long a request takes.
	Work time.Duration

	store *Store
	http  *http.Server
	stop  chan struct{}

	mu       sync.Mutex
	born     int64
	seq      int
	state    string
	listed   bool
	running  int
	arrivals []*Arrival
}

// StartServer starts a replica at a free port of an IP address and registers it.
func StartServer(store *Store, s *Server, ip string) error {
	ln, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	s.store, s.Address, s.born, s.state, s.listed, s.stop = store, ln.Addr().String(), time.Now().UnixMilli(), "ready", true, make(chan struct{})
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(ln) }()
	s.register()
	go s.beat()
	return nil
}

func (s *Server) register() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.listed {
		return
	}
	s.seq++
	s.store.Put("servers", s.ID, map[string]any{
		"service": s.Service, "address": s.Address, "zone": s.Zone, "version": "v1", "slots": s.Slots,
		"state": s.state, "cold_left_ms": 0, "seq": s.seq, "born": s.born,
	})
}

func (s *Server) beat() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(beatInterval):
			s.register()
		}
	}
}

// Leave removes the entry of the replica, which continues to serve, and returns when the store
// had accepted that.
func (s *Server) Leave() time.Time {
	s.mu.Lock()
	s.listed = false
	s.mu.Unlock()
	s.store.Remove("servers", s.ID)
	return time.Now()
}

// End ends the replica. Its channels are closed.
func (s *Server) End() {
	select {
	case <-s.stop:
		return
	default:
		close(s.stop)
	}
	_ = s.http.Close()
}

// Arrivals returns copies of the requests that reached the replica.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Arrival, len(s.arrivals))
	for i, a := range s.arrivals {
		out[i] = *a
	}
	return out
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.ID {
		h.Set("X-Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	a := &Arrival{ID: id, Instance: s.ID, At: time.Now()}
	s.mu.Lock()
	full := s.running >= s.Slots
	a.Ran = !full
	s.arrivals = append(s.arrivals, a)
	if !full {
		s.running++
	}
	s.mu.Unlock()
	if full {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.running--
	running := s.running
	s.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	body := "answer to " + id
	h.Set("X-Server-Seal", "seal."+s.ID+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, s.Slots))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := io.WriteString(w, body); err == nil {
		s.mu.Lock()
		a.Answered = true
		s.mu.Unlock()
	}
}
