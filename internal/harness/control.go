package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/router"
	"github.com/laureltally/laureltally/standin"
)

// Post sends a control message to a stand-in, with body as JSON. It fails with a
// *StatusError on a status of 300 or above.
func (c *Cluster) Post(ctx context.Context, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request body: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("create request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StatusError{URL: url, Status: resp.Status}
	}
	return nil
}

func get[T any](ctx context.Context, url string) (T, error) {
	var v T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return v, fmt.Errorf("create request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, fmt.Errorf("send request: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, &StatusError{URL: url, Status: resp.Status}
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return v, fmt.Errorf("decode response: %w", err)
	}
	return v, nil
}

// Status returns the status of a router.
func (c *Cluster) Status(ctx context.Context, adminURL string) (router.Status, error) {
	return get[router.Status](ctx, adminURL+"/admin/status")
}

// EngineState returns the state of engine i.
func (c *Cluster) EngineState(ctx context.Context, i int) (engine.State, error) {
	return get[engine.State](ctx, c.EngineURLs[i]+"/admin/state")
}

// EngineCounters returns the counters of engine i.
func (c *Cluster) EngineCounters(ctx context.Context, i int) (standin.EngineCounters, error) {
	return get[standin.EngineCounters](ctx, c.EngineURLs[i]+"/control/counters")
}

// OrderRuns returns how often the service ran each order, by its id.
func (c *Cluster) OrderRuns(ctx context.Context) (map[string]int, error) {
	return get[map[string]int](ctx, c.ServiceURL+"/control/runs")
}
