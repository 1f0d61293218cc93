package main

import (
	"context"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// link is a listener and a set of clients, each with one connection to it.
type link struct {
	keys     *issuer
	listener *transport.Listener
	relay    *relay
	pools    []*transport.Pool
}

// newLink opens n connections to one agent, through a byte-counting relay if
// counted is set. If reports is set, each client subscribes to the agent's
// reports, which are sent reportsPerSecond times a second. The caller closes the
// link.
func newLink(ctx context.Context, n int, counted, reports bool) (*link, error) {
	keys, err := newIssuer()
	if err != nil {
		return nil, err
	}
	l := &link{keys: keys}
	if err := l.open(ctx, n, counted, reports); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

func (l *link) open(ctx context.Context, n int, counted, reports bool) error {
	credentials, err := l.keys.issue(agentName(0))
	if err != nil {
		return err
	}
	l.listener, err = transport.Listen("127.0.0.1:0", transport.Options{
		Hello:       wire.Hello{VM: agentName(0), Incarnation: 1, Role: metastore.RoleAgent},
		Credentials: credentials, Logger: quiet(), Handler: transport.HandlerFunc(sendReports),
	})
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	address := l.listener.Addr().String()
	if counted {
		if l.relay, err = newRelay(address); err != nil {
			return err
		}
		address = l.relay.address()
	}
	for i := range n {
		if err := l.dial(ctx, i, address, reports); err != nil {
			return err
		}
	}
	return nil
}

// dial opens the connection of client i.
func (l *link) dial(ctx context.Context, i int, address string, reports bool) error {
	credentials, err := l.keys.issue(routerName(i))
	if err != nil {
		return err
	}
	p := transport.NewPool(transport.Options{
		Hello:       wire.Hello{VM: routerName(i), Incarnation: 1, Role: metastore.RoleRouter},
		Credentials: credentials, Logger: quiet(),
	})
	l.pools = append(l.pools, p)
	c, err := p.Get(ctx, agentName(0), address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	if !reports {
		return nil
	}
	s, err := c.Open(ctx, &wire.Subscribe{})
	if err != nil {
		return fmt.Errorf("subscribe: %w", err)
	}
	go receive(s)
	return nil
}

func (l *link) close() {
	for _, p := range l.pools {
		p.Close()
	}
	if l.relay != nil {
		l.relay.close()
	}
	if l.listener != nil {
		_ = l.listener.Close()
	}
	l.keys.close()
}

// receive reads reports until the stream ends.
func receive(s *transport.Stream) {
	for {
		if _, err := s.Recv(); err != nil {
			return
		}
	}
}

// sendReports sends reports to a subscriber until the stream ends.
func sendReports(ctx context.Context, _ wire.Hello, _ wire.Message, s *transport.Stream) {
	tick := time.NewTicker(time.Second / reportsPerSecond)
	defer tick.Stop()
	for seq := uint64(1); ; seq++ {
		if err := s.Send(report(0, modelsPerAgent, seq)); err != nil {
			return
		}
		select {
		case <-tick.C:
		case <-s.Context().Done():
			return
		case <-ctx.Done():
			return
		}
	}
}
