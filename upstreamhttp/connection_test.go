package upstreamhttp

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against a request that goes over a connection which was established after the time at which
// the server was looked at: another process may be at its end.
func TestConnectReusesOlderConnectionsOnly(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	c := New(Options{})
	connect := func(before time.Time) *Connection {
		cn, err := c.Connect(t.Context(), address, before)
		if err != nil {
			t.Fatal(err)
		}
		return cn
	}
	begun := time.Now()
	one := connect(begun)
	if at := one.EstablishedAt(); !at.After(begun) {
		t.Fatalf("established at %v, begun at %v", at, begun)
	}
	one.Release()
	if two := connect(one.EstablishedAt()); two.conn == one.conn {
		t.Error("a connection that is not older is reused")
	} else {
		two.Release()
	}
	if three := connect(one.EstablishedAt().Add(time.Nanosecond)); three.conn != one.conn {
		t.Error("the older connection is not reused")
	}
	if n := c.Idle(address); n != 1 {
		t.Errorf("%d idle connections", n)
	}
}
