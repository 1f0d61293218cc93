package sidecar

import (
	"fmt"
	"math/rand/v2"

	"github.com/laureltally/laureltally/resume"
	"github.com/laureltally/laureltally/resume/originstore"
	"github.com/laureltally/laureltally/transport"
	"github.com/laureltally/laureltally/wire"
)

// recordStream records which software version began a stream, of any service.
func (s *Sidecar) recordStream(m *wire.StreamBegun, stream *transport.Stream) {
	s.streamsMu.Lock()
	s.streams.Put(s.o.Now(), m.Upstream, m.Request, m.Software)
	s.streamsMu.Unlock()
	if m.Archive {
		s.streamArchive.Add(resume.KeyOf(m.Upstream, m.Request), m.Software)
	}
	_ = stream.CloseSend()
}

// newStreamArchive returns the writer of the streams that this sidecar archives.
func newStreamArchive(o Options) *originstore.Writer {
	return originstore.NewWriter(originstore.Options{
		Store: o.Store, Name: fmt.Sprintf("%016x", rand.Uint64()), Now: o.Now,
		Failed: func(err error) {
			o.Metrics.Counter("stream_archive_failures").Inc(1)
			o.Logger.WithError(err).Warn("streams not archived")
		},
	})
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
