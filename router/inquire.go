package router

import (
	"context"
	"fmt"

	"github.com/laureltally/laureltally/idempotency"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Inquire implements idempotency.Inquirer.
func (s *Server) Inquire(ctx context.Context, t idempotency.Target, id ident.Attempt) (wire.AttemptState, error) {
	vm, ok := s.fleet.find(t.VM)
	if !ok {
		return "", &unlistedError{vm: t.VM}
	}
	conn, err := s.pool.Get(ctx, vm.ID, vm.Address)
	if err != nil {
		return "", fmt.Errorf("query attempt status: %w", err)
	}
	m, err := conn.Call(ctx, &wire.AttemptStatusRequest{Attempt: id, Incarnation: t.Incarnation})
	if err != nil {
		return "", fmt.Errorf("query attempt status: %w", err)
	}
	v, ok := m.(*wire.AttemptStatus)
	if !ok || v.Attempt != id {
		return "", &wire.KindError{Kind: m.Kind()}
	}
	return v.State, nil
}
