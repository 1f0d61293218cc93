package router

import (
	"context"
	"time"

	"github.com/laureltally/laureltally/wire"
)

// notifyTimeout limits the sending of a Prewarm or Cancel message.
const notifyTimeout = 2 * time.Second

// prewarm asks an agent to prewarm the model of a request.
func (s *Server) prewarm(req *Request) {
	late := *req
	late.Deadline = time.Time{}
	t, failure := s.fleet.choose(&late, nil)
	if failure != nil {
		return
	}
	defer s.fleet.ended(t, notRun(wire.CodeCanceled, "wake-up only"))
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	conn, err := s.pool.Get(ctx, t.vm, t.address)
	if err != nil {
		return
	}
	stream, err := conn.Open(ctx, &wire.Prewarm{Environment: req.Environment, Model: req.Target.Model.Name, Priority: req.Priority})
	if err != nil {
		return
	}
	_ = stream.CloseSend()
}
