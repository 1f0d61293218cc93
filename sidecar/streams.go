package sidecar

import (
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// recordStream records which software version began a stream, of any service.
func (s *Sidecar) recordStream(m *wire.StreamBegun, stream *transport.Stream) {
	s.streamsMu.Lock()
	s.streams.Put(s.o.Now(), m.Upstream, m.Request, m.Software)
	s.streamsMu.Unlock()
	_ = stream.CloseSend()
}

// answerOrigin tells a router which software version began a stream.
func (s *Sidecar) answerOrigin(m *wire.StreamOriginQuery, stream *transport.Stream) {
	s.streamsMu.Lock()
	software, known := s.streams.Get(m.Upstream, m.Request)
	s.streamsMu.Unlock()
	if stream.Send(&wire.StreamOrigin{Known: known, Software: software}) != nil {
		stream.Reset()
		return
	}
	_ = stream.CloseSend()
}
