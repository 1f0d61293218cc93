package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/laureltally/laureltally/quarantine"
	"github.com/laureltally/laureltally/requestlimit"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// tellOrShare tells the homes of a key what this process has found, also one in each other
// region, as those of its own may be stalled. It shares it through the store too if sidecars may
// not pass it on, or if one of them does not confirm that it has taken it. It does not wait.
func (s *Server) tellOrShare(key string, n quarantine.News) {
	var conns []*transport.Conn
	for region, homes := range s.homes(key, quarantineHomes) {
		if region != s.o.Settings.Region {
			homes = homes[:1]
		}
		conns = append(conns, homes...)
	}
	uncertain := s.sidecarsUncertain()
	if uncertain {
		s.shareFindings(n)
	}
	m := n.Encode(s.o.Now())
	go func() {
		var sends errgroup.Group
		for _, c := range conns {
			sends.Go(func() error { return s.sendConfirmed(c, m) })
		}
		if sends.Wait() != nil && !uncertain {
			s.shareFindings(n)
		}
	}()
}

// tellSound tells the homes of traits that they are sound.
func (s *Server) tellSound(sound []quarantine.Sound) {
	byHome := make(map[*transport.Conn][]quarantine.Sound)
	for _, p := range sound {
		for _, c := range s.newsHomes(p.Trait.String(), 1) {
			byHome[c] = append(byHome[c], p)
		}
	}
	for c, known := range byHome {
		n := quarantine.News{Sound: known}
		s.send(c, n.Encode(s.o.Now()))
	}
}

// newsHomes returns the connections to the first homes of a key in this region or, if it has
// no sidecar in reach, in the others.
func (s *Server) newsHomes(key string, n int) []*transport.Conn {
	homes := s.homes(key, n)
	if near := homes[s.o.Settings.Region]; len(near) > 0 {
		return near
	}
	return slices.Concat(slices.Collect(maps.Values(homes))...)
}

// send sends what this process has learned to a sidecar, which passes it on. It does not
// wait.
func (s *Server) send(c *transport.Conn, m wire.Message) {
	go func() { _ = s.sendConfirmed(c, m) }()
}

// sendConfirmed sends a message to a sidecar, waits until the sidecar confirms it, and logs if
// that fails.
func (s *Server) sendConfirmed(c *transport.Conn, m wire.Message) error {
	err := exchangeConfirmed(c, m)
	if err != nil {
		s.observeSidecarLost()
		s.metrics.newsNotTold.Inc(1)
		s.o.Logger.WithField("sidecar", c.Peer().VM).WithError(err).Warn("news not passed to sidecar")
	}
	return err
}

// exchangeConfirmed sends a message and waits until the sidecar closes the stream, which
// it does once it has taken the message. A write alone also succeeds after the sidecar has ended.
func exchangeConfirmed(c *transport.Conn, m wire.Message) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	stream, err := c.Open(ctx, m)
	if err != nil {
		return err
	}
	defer stream.CloseRecv()
	if err := stream.CloseSend(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	_ = stream.SetDeadline(time.Now().Add(recordTimeout))
	reply, err := stream.Recv()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return fmt.Errorf("not confirmed: %w", err)
	}
	return &wire.KindError{Kind: reply.Kind()}
}

// tellKnown tells a sidecar that was connected just now, and may have started just now, what
// this process knows.
func (s *Server) tellKnown(conn *transport.Conn, now time.Time) {
	if known := s.known(now); !known.Empty() {
		s.send(conn, known.Encode(now))
	}
	s.tellLimitsTo(conn, s.clusterState.requestLimits(now))
}

// tellLimits tells the sidecar of the server at an address, which keeps to its limit, and
// the home of the address, which other routers hear it from if the first is away.
func (s *Server) tellLimits(address string, statements []requestlimit.Statement) {
	conns := s.newsHomes(address, 1)
	if link := s.sidecar(address); link != nil {
		if c := link.conn.Load(); c != nil {
			conns = append(conns, c)
		}
	}
	for _, c := range conns {
		s.tellLimitsTo(c, statements)
	}
}

func (s *Server) tellLimitsTo(c *transport.Conn, statements []requestlimit.Statement) {
	if len(statements) > 0 {
		s.send(c, requestlimit.Encode(s.o.Now(), statements))
	}
}
