package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/laureltally/laureltally/platform/platformtest"
)

const (
	callers = 12
	// thinkTime is the mean pause of a caller between two requests.
	thinkTime = 20 * time.Millisecond
)

// exchange is one request of a caller and its reply.
type exchange struct {
	call     platformtest.Call
	reply    platformtest.Reply
	router   int
	from, to time.Time
	// kind is the first segment of the path.
	kind string
	// first is the id of the attempt that began the stream, and after the last event that
	// the caller had, if the request resumes it.
	first string
	after int
}

// startCallers starts callers that send requests until the returned function is
// called. Each keeps its connections open as long as the routers do.
func (in *installation) startCallers(ch *checker, seed uint64) (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for n := range callers {
		all.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(100+n)))
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(time.Duration(r.ExpFloat64() * float64(thinkTime))):
				}
				kind, c := in.drawCall(r, fmt.Sprintf("s%d-%d-%d", in.worker, n, i))
				if in.keys != nil {
					c.Key = in.keys.draw(r)
				}
				in.send(ch, client, kind, c, n)
			}
		})
	}
	return func() {
		close(done)
		all.Wait()
	}
}

// drawCall draws a random request and returns its kind.
func (in *installation) drawCall(r *rand.Rand, id string) (string, platformtest.Call) {
	c := platformtest.Call{ID: id, Host: host, Body: "x", Timeout: time.Duration(1500+r.IntN(3000)) * time.Millisecond}
	kind := "order"
	switch n := r.IntN(20); {
	case n < 8:
	case n < 12:
		kind, c.Method, c.Body = "read", http.MethodGet, ""
	case n < 13:
		if v := in.settledVersion(); v > 1 {
			kind, c.Method, c.Body = fmt.Sprintf("extra-%d", v), http.MethodGet, ""
		}
	case n < 17:
		kind = "outlook"
	default:
		kind = "draft"
	}
	if kind == "outlook" || kind == "draft" {
		c.Model = modelNames[min(r.IntN(len(modelNames)), r.IntN(len(modelNames)))]
		if r.IntN(4) == 0 {
			c.Model += fmt.Sprintf("/a%d", 1+r.IntN(4))
		}
	}
	c.Path = "/" + kind + "/a"
	return kind, c
}

// send sends a request, and resumes its stream if that breaks off.
func (in *installation) send(ch *checker, client *http.Client, kind string, c platformtest.Call, n int) {
	e := in.exchange(ch, client, exchange{call: c, kind: kind}, n)
	if kind == "outlook" {
		in.resume(ch, client, e, n)
	}
}

// exchange sends the request of an exchange to a router and checks the reply.
func (in *installation) exchange(ch *checker, client *http.Client, e exchange, n int) exchange {
	if e.router = in.pick(n); e.router < 0 {
		return e
	}
	c := e.call
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	e.from = time.Now()
	e.reply = c.Do(ctx, client, in.routerAddress(e.router))
	e.to = time.Now()
	ch.checkReply(e)
	if e.reply.Status == http.StatusServiceUnavailable || e.reply.Status == http.StatusTooManyRequests {
		time.Sleep(min(e.reply.RetryAfter, 300*time.Millisecond))
	}
	return e
}

// clientTimeout is the time after which a caller gives up on a router that does not
// respond.
const clientTimeout = 20 * time.Second
