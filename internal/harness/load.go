package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Load sends requests to the routers until Stop is called.
type Load struct {
	c     *Cluster
	Tally *Tally
	wg    sync.WaitGroup
	stop  context.CancelFunc
	http  *http.Client
}

const (
	// callerTimeout is the timeout that callers send with a request.
	callerTimeout = 15 * time.Second
	// callerMaxWait is how long a caller waits for the end of the response.
	callerMaxWait = callerTimeout + 5*time.Second
	// maxOrderAttempts bounds how often a caller sends an order whose outcome is
	// unclear.
	maxOrderAttempts = 3
	// maxThinkTime bounds the random pause between two requests of a caller.
	maxThinkTime = 40 * time.Millisecond
	// maxRetryWait bounds the pause after a refusal, so that a short run still
	// sees the retry.
	maxRetryWait = 500 * time.Millisecond
)

// StartLoad starts callers, a third of each kind: streamed chat requests, chat
// requests without streaming, and orders.
func (c *Cluster) StartLoad(callers int, seed uint64) *Load {
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{c: c, Tally: NewTally(), stop: stop, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}}
	for i := range callers {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		l.wg.Go(func() { l.runCaller(ctx, i, r) })
	}
	return l
}

// Stop stops sending and waits until the requests in progress have ended.
func (l *Load) Stop() {
	l.stop()
	l.wg.Wait()
	l.http.CloseIdleConnections()
}

func (l *Load) runCaller(ctx context.Context, id int, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		mark := fmt.Sprintf("mark-%d-%d", id, n)
		base := l.pickRouter(r)
		switch {
		case base == "":
		case id%3 == 0:
			l.sendChat(r, base, mark, Models[r.IntN(len(Models))], true)
		case id%3 == 1:
			l.sendChat(r, base, mark, Models[r.IntN(len(Models))], false)
		default:
			l.placeOrder(mark, r)
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxThinkTime))))
	}
}

// pickRouter picks a router as the load balancer before the routers does: a random
// one that reports ready. It returns "" if it finds none.
func (l *Load) pickRouter(r *rand.Rand) string {
	for range l.c.RouterURLs {
		i := r.IntN(len(l.c.RouterURLs))
		resp, err := l.http.Get(l.c.AdminURLs[i] + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return l.c.RouterURLs[i]
		}
	}
	return ""
}

type response struct {
	status int
	body   string
	err    error
}

func (l *Load) send(url, body, key string) response {
	ctx, cancel := context.WithTimeout(context.Background(), callerMaxWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("X-Laureltally-Timeout", callerTimeout.String())
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(b), err: err}
}

// refusal is the part of a typed refusal that callers rely on.
type refusal struct {
	Error struct {
		Code         string `json:"code"`
		Run          string `json:"run"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// waitRetryAfter waits as long as the refusal demands, but at most maxRetryWait.
func (r refusal) waitRetryAfter() {
	time.Sleep(min(time.Duration(r.Error.RetryAfterMS)*time.Millisecond, maxRetryWait))
}

func parseRefusal(body string) (refusal, bool) {
	var r refusal
	err := json.Unmarshal([]byte(body), &r)
	return r, err == nil && r.Error.Code != "" && (r.Error.Run == "not_run" || r.Error.Run == "unknown")
}

func (l *Load) sendChat(r *rand.Rand, base, mark, model string, stream bool) {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":24,"messages":[{"role":"user","content":%q}]}`, model, stream, mark)
	got := l.send(base+"/v1/chat/completions", body, "")
	if got.err != nil && l.routerKilled(base) {
		// The router was killed, which closed the connection. The request is
		// idempotent and is sent again through the load balancer.
		if base = l.pickRouter(r); base == "" {
			return
		}
		got = l.send(base+"/v1/chat/completions", body, "")
	}
	l.record(got, mark, stream)
}

func (l *Load) record(got response, mark string, stream bool) {
	outcome, detail := classifyChat(got, mark, stream)
	l.Tally.record(outcome, detail)
	if f, ok := parseRefusal(got.body); ok && outcome == Refused {
		l.Tally.addRefusal(f.Error.Code + "/" + f.Error.Run)
		f.waitRetryAfter()
	}
}

// routerKilled reports whether the router with base URL base was ever killed by
// the harness. Only then may a connection to it break.
func (l *Load) routerKilled(base string) bool {
	for i, url := range l.c.RouterURLs {
		if url == base {
			return l.c.killed(l.c.Routers[i])
		}
	}
	return false
}

// classifyChat returns the outcome of a chat request and a description for the
// list of problems. Every response echoes its request, so that a response to
// another request is recognised.
func classifyChat(r response, mark string, stream bool) (Outcome, string) {
	detail := fmt.Sprintf("%s: status %d, error %v, body %.200q", mark, r.status, r.err, r.body)
	if r.err != nil {
		return Lost, detail
	}
	if r.status != http.StatusOK {
		if _, ok := parseRefusal(r.body); ok {
			return Refused, detail
		}
		return Lost, detail
	}
	text, complete := r.body, true
	if stream {
		text, complete = streamText(r.body)
	}
	switch {
	case strings.Contains(text, "mark-") && !strings.Contains(text, mark):
		return Mismatched, detail
	case !complete && strings.Contains(r.body, `"run"`):
		return Refused, detail
	case !complete || !strings.Contains(text, mark):
		return Lost, detail
	default:
		return Answered, detail
	}
}

// streamText joins the chunks of a stream and reports whether the stream is
// complete.
func streamText(body string) (string, bool) {
	var text strings.Builder
	complete := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return text.String(), complete
}

// placeOrder sends an order and repeats it with its idempotency key, to any
// router, while its outcome is unclear.
func (l *Load) placeOrder(id string, r *rand.Rand) {
	body := fmt.Sprintf(`{"id":%q}`, id)
	for range maxOrderAttempts {
		base := l.pickRouter(r)
		if base == "" {
			continue
		}
		got := l.send(base+"/services/"+string(Environment)+"/portal/orders", body, "key-"+id)
		if got.err != nil && l.routerKilled(base) {
			l.Tally.order(id, order{})
			continue
		}
		outcome, state, detail := classifyOrder(got, id)
		l.Tally.order(id, state)
		l.Tally.record(outcome, detail)
		if f, ok := parseRefusal(got.body); ok {
			l.Tally.addRefusal("order: " + f.Error.Code + "/" + f.Error.Run)
			f.waitRetryAfter()
		}
		if outcome == Answered || state.notRun {
			return
		}
	}
}

func classifyOrder(r response, id string) (Outcome, order, string) {
	detail := fmt.Sprintf("order %s: status %d, error %v, body %.200q", id, r.status, r.err, r.body)
	if r.err != nil {
		return Lost, order{}, detail
	}
	if r.status == http.StatusCreated {
		if !bytes.Contains([]byte(r.body), []byte(`"id":"`+id+`"`)) {
			return Mismatched, order{}, detail
		}
		return Answered, order{answered: true}, detail
	}
	f, ok := parseRefusal(r.body)
	if !ok {
		return Lost, order{}, detail
	}
	return Refused, order{notRun: f.Error.Run == "not_run", word: r.body}, detail
}
