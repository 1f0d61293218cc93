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
	// pathBin is the directory in which make build puts the programs.
	pathBin = "bin"
	// latencyCalls is the number of requests timed on each path. Requests are
	// sequential and alternate between the paths.
	latencyCalls = 1500
	warmCalls    = 100
	// streamCallers is the number of callers that request streams of streamTokens
	// tokens for streamTime.
	streamCallers = 16
	streamTokens  = 400
	streamTime    = 5 * time.Second
	maxMicros     = 60_000_000
	histDigits    = 3
)

// latencySection measures the latency that the router and the agent add to calls
// of an engine, and the streamed tokens a second that they forward per core. Both
// run as separate processes; the engine responds immediately.
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

// chatBody returns the body of a chat request for the given number of tokens.
func chatBody(stream bool, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"wool"}]}`, harness.Models[0], stream, tokens)
}

// timeCalls times alternating calls of the engine and of the router.
func timeCalls(client *http.Client, c *harness.Cluster) (direct, routed *hdrhistogram.Histogram, err error) {
	direct = hdrhistogram.New(1, maxMicros, histDigits)
	routed = hdrhistogram.New(1, maxMicros, histDigits)
	body := chatBody(false, 1)
	if err := warm(client, c, body); err != nil {
		return nil, nil, err
	}
	for i := range warmCalls + latencyCalls {
		for _, path := range []struct {
			base string
			h    *hdrhistogram.Histogram
		}{{c.EngineURLs[0], direct}, {c.RouterURLs[0], routed}} {
			start := time.Now()
			if _, err := post(client, path.base, body); err != nil {
				return nil, nil, err
			}
			if i >= warmCalls {
				_ = path.h.RecordValue(time.Since(start).Microseconds())
			}
		}
	}
	return direct, routed, nil
}

// warm sends requests until one succeeds, which loads the model.
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

// post sends a chat request and returns the number of events in its response.
func post(client *http.Client, base, body string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+harness.Key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("send request: %w", err)
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
		return 0, fmt.Errorf("read response: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, &harness.StatusError{URL: base, Status: resp.Status}
	}
	return events, nil
}

// streamRows measures streams directly from the engine and through the router and
// the agent.
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

// streams returns the number of tokens that callers receive within streamTime, and
// of failed calls.
func streams(client *http.Client, base string) (tokens, failed int64) {
	var received, failures atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(streamTime)
	body := chatBody(true, streamTokens)
	for range streamCallers {
		wg.Go(func() {
			for time.Now().Before(end) {
				n, err := post(client, base, body)
				if err != nil {
					failures.Add(1)
				}
				received.Add(int64(n))
			}
		})
	}
	wg.Wait()
	return received.Load(), failures.Load()
}

// pathCPU returns the CPU time used by the router and the engine's agent.
func pathCPU(c *harness.Cluster) time.Duration {
	var sum time.Duration
	for _, p := range []*harness.Process{c.Routers[0], c.Agents[0]} {
		if d, err := p.CPUTime(); err == nil {
			sum += d
		}
	}
	return sum
}
