package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/residency"
)

const (
	// lateOrdersKeyPrefix is the prefix of the keys of unanswered orders in the store.
	lateOrdersKeyPrefix = "unanswered-orders/"
	// lateOrdersSaveTimeout bounds the attempts to store them.
	lateOrdersSaveTimeout = 20 * time.Second
	// lateOrdersStopTimeout is how long they go on after a stop has begun.
	lateOrdersStopTimeout = time.Second
	// maxLateOrdersAge is the age from which on stored orders are ignored. It allows for clocks
	// that differ by a minute and more.
	maxLateOrdersAge = 5 * time.Minute
)

// lateOrders is the stored record of the loads of one engine that got no answer and may be carried
// out after the sidecar has ended.
type lateOrders struct {
	// WrittenMS is the time of the write, in Unix milliseconds.
	WrittenMS int64                       `json:"written_ms"`
	Orders    []residency.UnansweredOrder `json:"orders"`
}

// saveLateOrders stores the orders that have no answer, for a sidecar that starts within the time
// in which they may be carried out.
func (s *Sidecar) saveLateOrders() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), lateOrdersSaveTimeout)
	defer cancel()
	// An order is left without an answer by a stop too.
	defer context.AfterFunc(s.ctx, func() { time.AfterFunc(lateOrdersStopTimeout, cancel) })()
	key := lateOrdersKeyPrefix + addressName(s.o.Settings.EngineAddress)
	err := retryStore(ctx, func() error {
		_, version, err := readLateOrders(ctx, s.o.Store, key)
		if err != nil {
			return err
		}
		s.mu.Lock()
		orders := s.scheduler.Unanswered(s.o.Now())
		s.mu.Unlock()
		value, err := json.Marshal(lateOrders{WrittenMS: time.Now().UnixMilli(), Orders: orders})
		if err != nil {
			return fmt.Errorf("encode unanswered orders: %w", err)
		}
		_, err = s.o.Store.Put(ctx, key, value, version)
		return err
	})
	if err != nil {
		s.o.Logger.WithError(err).Warn("unanswered orders not stored")
	}
}

// recallLateOrders passes the orders that an earlier sidecar of the engine left without an answer
// to the scheduler.
func (s *Sidecar) recallLateOrders(ctx context.Context) error {
	key := lateOrdersKeyPrefix + addressName(s.o.Settings.EngineAddress)
	return retryStore(ctx, func() error {
		r, _, err := readLateOrders(ctx, s.o.Store, key)
		if err != nil || time.Since(time.UnixMilli(r.WrittenMS)) > maxLateOrdersAge || len(r.Orders) == 0 {
			return err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.scheduler.RecallUnanswered(s.o.Now(), r.Orders)
		s.o.Logger.WithField("orders", len(r.Orders)).Info("unanswered orders of an earlier process recalled")
		return nil
	})
}

// readLateOrders reads a record. Without one, or with one that can't be decoded, it is empty.
func readLateOrders(ctx context.Context, s metastore.Store, key string) (lateOrders, metastore.Version, error) {
	o, err := s.Get(ctx, key)
	var missing *metastore.NotFoundError
	switch {
	case errors.As(err, &missing):
		return lateOrders{}, 0, nil
	case err != nil:
		return lateOrders{}, 0, fmt.Errorf("read unanswered orders: %w", err)
	}
	var r lateOrders
	if json.Unmarshal(o.Value, &r) != nil {
		r = lateOrders{}
	}
	return r, o.Version, nil
}
