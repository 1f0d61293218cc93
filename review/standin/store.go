// Package standin has the stand-ins of clients, servers and the platform that the review
// cases start, and what the cases share.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const objectsPath = "/laureltally/objects/"

// pageSize is the number of objects in one page of a list.
const pageSize = 500

// Store is the platform's metadata store, in memory. It has an address of its own for each
// process of the system (Door), so that it can turn away one of them and serve the others.
type Store struct {
	mu      sync.Mutex
	rev     uint64
	objects map[string]*object
}

type metadata struct {
	Name       string   `json:"name"`
	Rev        uint64   `json:"rev"`
	CreatedRev uint64   `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{rev: 1, objects: make(map[string]*object)} }

// Door is an address of a store.
type Door struct {
	Address string
	// TurnsAway is set while the store answers all calls at this address with status 503.
	TurnsAway atomic.Bool
	// lists counts the reads of the list of servers at this address.
	lists  atomic.Int64
	server *http.Server
}

// Open serves the store at a free port.
func (s *Store) Open() (*Door, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Door{Address: ln.Addr().String()}
	d.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.TurnsAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodGet && r.URL.Path == objectsPath+"servers" {
			d.lists.Add(1)
		}
		s.serve(w, r)
	})}
	go func() { _ = d.server.Serve(ln) }()
	return d, nil
}

// AwaitList waits for the next read of the list of servers, but not for long.
func (d *Door) AwaitList() {
	n := d.lists.Load()
	for end := time.Now().Add(3 * time.Second); d.lists.Load() == n && time.Now().Before(end); {
		time.Sleep(2 * time.Millisecond)
	}
}

// Close ends the service at this address.
func (d *Door) Close() { _ = d.server.Close() }

// Put writes an object, as the operator and the servers do.
func (s *Store) Put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind+"/"+name] != nil {
		s.rev++
		delete(s.objects, kind+"/"+name)
	}
}

func (s *Store) put(kind, name string, spec json.RawMessage) *object {
	o := s.objects[kind+"/"+name]
	if o != nil && string(o.Spec) == string(spec) {
		return o
	}
	s.rev++
	if o == nil {
		o = &object{Metadata: metadata{Name: name, CreatedRev: s.rev, Finalizers: []string{}}}
		s.objects[kind+"/"+name] = o
	}
	o.Spec, o.Metadata.Rev = spec, s.rev
	return o
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, kind, name)
	case http.MethodPost, http.MethodPut:
		s.write(w, r, kind, name)
	case http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request, kind, name string) {
	if name != "" {
		if o := s.objects[kind+"/"+name]; o != nil {
			Reply(w, http.StatusOK, o)
			return
		}
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var names []string
	after := r.URL.Query().Get("after")
	for key := range s.objects {
		if n, ok := strings.CutPrefix(key, kind+"/"); ok && n > after {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := []*object{}
	for _, n := range names[:min(len(names), pageSize)] {
		items = append(items, s.objects[kind+"/"+n])
	}
	Reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(names) > pageSize, "current_rev": s.rev})
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	old := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && old != nil, old != nil && in.Metadata.Rev != 0 && in.Metadata.Rev != old.Metadata.Rev:
		Reply(w, http.StatusConflict, old)
	case r.Method == http.MethodPut && old == nil:
		w.WriteHeader(http.StatusNotFound)
	default:
		Reply(w, http.StatusOK, s.put(kind, name, in.Spec))
	}
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	o := s.objects[kind+"/"+name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if rev, err := strconv.ParseUint(r.URL.Query().Get("rev"), 10, 64); err == nil && rev != 0 && rev != o.Metadata.Rev {
		Reply(w, http.StatusConflict, o)
		return
	}
	s.rev++
	delete(s.objects, kind+"/"+name)
	w.WriteHeader(http.StatusOK)
}

// Reply writes a JSON response.
func Reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
