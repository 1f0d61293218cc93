package standin

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Call is a request of a client.
type Call struct {
	ID, Method, Host, Path, Model, Body string
	Deadline                            time.Duration
	// LastEventID and Resumes are set if the request takes a stream up: the id of the last event
	// that came, and that of the attempt which brought the first.
	LastEventID, Resumes string
	// PromptTokens is the size of the prompt; zero means 300.
	PromptTokens int
}

// Answer is what the client got.
type Answer struct {
	Call
	To         string
	Sent, Done time.Time
	// Status is 0 if there was no answer. Complete is set if its body was read to the end.
	Status     int
	RetryAfter time.Duration
	Sealed     bool
	Complete   bool
	Body       string
	Err        error
}

var lastID atomic.Uint64

// NewID returns a new request id.
func NewID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, lastID.Add(1)) }

// NewClient returns a client that keeps channels open.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
}

// Do sends a request to a front machine and reads the answer.
func (c Call) Do(client *http.Client, name, front string) (a Answer) {
	a = Answer{Call: c, To: name}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	var body io.Reader
	if c.Body != "" {
		body = strings.NewReader(c.Body)
	}
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+front+c.Path, body)
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = c.Host
	r.Header.Set("X-Request-Id", c.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Model != "" {
		r.Header.Set("X-Model", c.Model)
		prompt := cmp.Or(c.PromptTokens, 300)
		r.Header.Set("X-Token-Counts", fmt.Sprintf("%d,40", prompt))
		r.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%s:%d", c.ID, prompt-200))
	}
	if c.Resumes != "" {
		r.Header.Set("Last-Event-Id", c.LastEventID)
		r.Header.Set("Resumes", c.Resumes)
	}
	a.Sent = time.Now()
	defer func() { a.Done = time.Now() }()
	resp, err := client.Do(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.Status, a.Sealed, a.Complete, a.Body, a.Err = resp.StatusCode, resp.Header.Get("X-Server-Seal") != "", err == nil, string(text), err
	return a
}
