package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/laureltally/laureltally/internal/harness"
)

const (
	// pathBin is where make build puts the programs.
	pathBin = "bin"
	// latencyCalls is how many requests are timed each way, one after the other
	// and in turn.
	latencyCalls = 1500
	warmCalls    = 100
	// streamCallers ask for streams of streamTokens tokens for streamTime.
	streamCallers = 16
	streamTokens  = 400
	streamTime    = 5 * time.Second
	maxMicros     = 60_000_000
	histDigits    = 3
)

// latencySection measures what the router and the agent add to calls of an
// engine, and how many streamed tokens a second they pass on with a core. Both
// run as separate processes; the engine answers at once.
func latencySection(t *table) {
	c := harness.New(harness.Options{Bin: pathBin, Routers: 1, Engines: 1})
	defer c.Close()
	if err := c.Start(context.Background()); err != nil {
		t.add(row{Section: "the path", Figure: "not run: " + err.Error(), Verdict: missed})
		return
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamCallers}}
	direct, routed, err := timeCalls(client, c)
	if err != nil {
		t.add(row{Section: "the path", Figure: "not run: " + err.Error(), Verdict: missed})
		return
	}
	for _, q := range []float64{50, 99} {
		base, own := direct.ValueAtQuantile(q), routed.ValueAtQuantile(q)
		t.add(row{
			Section: "the path", Figure: fmt.Sprintf("whole answer, one at a time, p%.0f, us", q),
			Baseline: fmt.Sprintf("engine directly %d", base),
			Ours:     fmt.Sprintf("%d (adds %d)", own, own-base), Verdict: info,
		})
	}
	streamRows(t, client, c)
}

// chatBody asks for tokens tokens.
func chatBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"wool"}]}`, harness.Models[0], stream, tokens)
}

// timeCalls times calls of the engine and of the router in turn.
func timeCalls(client *http.Client, c *harness.Cluster) (direct, routed *hdrhistogram.Histogram, err error) {
	direct = hdrhistogram.New(1, maxMicros, histDigits)
	routed = hdrhistogram.New(1, maxMicros, histDigits)
	body := chatBody(false, 1)
	if err := warm(client, c, body); err != nil {
		return nil, nil, err
	}
	for i := range warmCalls + latencyCalls {
		for _, way := range []struct {
			base string
			h    *hdrhistogram.Histogram
		}{{c.EngineURLs[0], direct}, {c.RouterURLs[0], routed}} {
			start := time.Now()
			if _, err := post(client, way.base, body); err != nil {
				return nil, nil, err
			}
			if i >= warmCalls {
				_ = way.h.RecordValue(time.Since(start).Microseconds())
			}
		}
	}
	return direct, routed, nil
}

// warm asks until the model is loaded.
func warm(client *http.Client, c *harness.Cluster, body string) error {
	const tries, wait = 100, 100 * time.Millisecond
	var err error
	for range tries {
		if _, err = post(client, c.RouterURLs[0], body); err == nil {
			return nil
		}
		time.Sleep(wait)
	}
	return err
}

// post sends a chat request and returns how many events its answer had.
func post(client *http.Client, base, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+harness.Key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("call: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			events++
		}
	}
	if err := lines.Err(); err != nil {
		return 0, fmt.Errorf("read: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, &harness.StatusError{URL: base, Status: resp.Status}
	}
	return events, nil
}

// streamRows measures streams through the engine alone and through the path.
func streamRows(t *table, client *http.Client, c *harness.Cluster) {
	direct, _ := streams(client, c.EngineURLs[0])
	before := pathCPU(c)
	routed, failed := streams(client, c.RouterURLs[0])
	used := pathCPU(c) - before
	tokens := float64(routed) / streamTime.Seconds()
	t.add(row{
		Section: "the path", Figure: fmt.Sprintf("streamed tokens a second, %d callers", streamCallers),
		Baseline: fmt.Sprintf("engine directly %.0f", float64(direct)/streamTime.Seconds()),
		Ours:     fmt.Sprintf("%.0f (%d calls failed)", tokens, failed), Verdict: info,
	})
	t.add(row{
		Section: "the path", Figure: "streamed tokens a second and core of router and agent",
		Ours: fmt.Sprintf("%.0f (%.2f cores)", float64(routed)/used.Seconds(), used.Seconds()/streamTime.Seconds()), Verdict: info,
	})
}

// streams counts the tokens that callers get within streamTime.
func streams(client *http.Client, base string) (tokens, failed int64) {
	var got, bad atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(streamTime)
	body := chatBody(true, streamTokens)
	for range streamCallers {
		wg.Go(func() {
			for time.Now().Before(end) {
				n, err := post(client, base, body)
				if err != nil {
					bad.Add(1)
				}
				got.Add(int64(n))
			}
		})
	}
	wg.Wait()
	return got.Load(), bad.Load()
}

// pathCPU is the processor time of the router and the agent beside the engine.
func pathCPU(c *harness.Cluster) time.Duration {
	var sum time.Duration
	for _, p := range []*harness.Process{c.Routers[0], c.Agents[0]} {
		if d, err := p.CPUTime(); err == nil {
			sum += d
		}
	}
	return sum
}
