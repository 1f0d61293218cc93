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

// Post sends a control message to a stand-in.
func (c *Cluster) Post(ctx context.Context, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("post: %w", err)
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
		return v, fmt.Errorf("request: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return v, fmt.Errorf("get: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, &StatusError{URL: url, Status: resp.Status}
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return v, fmt.Errorf("decode: %w", err)
	}
	return v, nil
}

// Status reads a router's status.
func (c *Cluster) Status(ctx context.Context, adminURL string) (router.Status, error) {
	return get[router.Status](ctx, adminURL+"/admin/status")
}

// EngineState reads what an engine holds.
func (c *Cluster) EngineState(ctx context.Context, i int) (engine.State, error) {
	return get[engine.State](ctx, c.EngineURLs[i]+"/admin/state")
}

// EngineCounters reads the counters of an engine.
func (c *Cluster) EngineCounters(ctx context.Context, i int) (standin.EngineCounters, error) {
	return get[standin.EngineCounters](ctx, c.EngineURLs[i]+"/control/counters")
}

// OrderRuns reads how often each order has run.
func (c *Cluster) OrderRuns(ctx context.Context) (map[string]int, error) {
	return get[map[string]int](ctx, c.ServiceURL+"/control/runs")
}
