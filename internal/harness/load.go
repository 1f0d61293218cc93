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

// Load sends requests to the routers until it is stopped.
type Load struct {
	c     *Cluster
	Tally *Tally
	wg    sync.WaitGroup
	stop  context.CancelFunc
	http  *http.Client
}

const (
	// callerTimeout is how long a caller asks to be answered within.
	callerTimeout = 15 * time.Second
	// callerPatience is how long a caller waits for the final answer.
	callerPatience = callerTimeout + 5*time.Second
	// orderTries is how often a caller repeats an order with an unclear outcome.
	orderTries = 3
	maxThink   = 40 * time.Millisecond
	maxWait    = 500 * time.Millisecond
)

// StartLoad starts callers of each kind: streamed chat, whole chat and orders.
func (c *Cluster) StartLoad(callers int, seed uint64) *Load {
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{c: c, Tally: NewTally(), stop: stop, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}}
	for i := range callers {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		l.wg.Go(func() { l.caller(ctx, i, r) })
	}
	return l
}

// Stop lets the requests in progress end and stops.
func (l *Load) Stop() {
	l.stop()
	l.wg.Wait()
	l.http.CloseIdleConnections()
}

func (l *Load) caller(ctx context.Context, id int, r *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		mark := fmt.Sprintf("mark-%d-%d", id, n)
		base := l.router(r)
		switch {
		case base == "":
		case id%3 == 0:
			l.chat(r, base, mark, Models[r.IntN(len(Models))], true)
		case id%3 == 1:
			l.chat(r, base, mark, Models[r.IntN(len(Models))], false)
		default:
			l.placeOrder(mark, r)
		}
		time.Sleep(time.Duration(r.Int64N(int64(maxThink))))
	}
}

// router picks a router as the balancer does: one that says it is ready.
func (l *Load) router(r *rand.Rand) string {
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

type reply struct {
	status int
	body   string
	err    error
}

func (l *Load) send(url, body, key string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("X-Laureltally-Timeout", callerTimeout.String())
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(b), err: err}
}

// refusal is the part of a typed refusal that callers rely on.
type refusal struct {
	Error struct {
		Code         string `json:"code"`
		Run          string `json:"run"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// wait comes back when the refusal says, or sooner, so that a short run still
// sees what happens next.
func (r refusal) wait() {
	time.Sleep(min(time.Duration(r.Error.RetryAfterMS)*time.Millisecond, maxWait))
}

func parseRefusal(body string) (refusal, bool) {
	var r refusal
	err := json.Unmarshal([]byte(body), &r)
	return r, err == nil && r.Error.Code != "" && (r.Error.Run == "not_run" || r.Error.Run == "unknown")
}

func (l *Load) chat(r *rand.Rand, base, mark, model string, stream bool) {
	body := fmt.Sprintf(`{"model":%q,"stream":%v,"max_tokens":24,"messages":[{"role":"user","content":%q}]}`, model, stream, mark)
	got := l.send(base+"/v1/chat/completions", body, "")
	if got.err != nil && l.gone(base) {
		// The entry VM died with the connection. The request is idempotent and
		// is sent again through the balancer.
		if base = l.router(r); base == "" {
			return
		}
		got = l.send(base+"/v1/chat/completions", body, "")
	}
	l.add(got, mark, stream)
}

func (l *Load) add(got reply, mark string, stream bool) {
	outcome, detail := judgeChat(got, mark, stream)
	l.Tally.add(outcome, detail)
	if f, ok := parseRefusal(got.body); ok && outcome == Refused {
		l.Tally.refused(f.Error.Code + "/" + f.Error.Run)
		f.wait()
	}
}

// gone tells whether the router behind base has ended or restarted under the
// caller, which only a kill brings about.
func (l *Load) gone(base string) bool {
	for i, url := range l.c.RouterURLs {
		if url == base {
			return l.c.killed(l.c.Routers[i])
		}
	}
	return false
}

// judgeChat tells how a chat request ended. Every answer echoes the request, so
// that another request's answer is recognised.
func judgeChat(r reply, mark string, stream bool) (Outcome, string) {
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
	text, whole := r.body, true
	if stream {
		text, whole = streamText(r.body)
	}
	switch {
	case strings.Contains(text, "mark-") && !strings.Contains(text, mark):
		return Mismatched, detail
	case !whole && strings.Contains(r.body, `"run"`):
		return Refused, detail
	case !whole || !strings.Contains(text, mark):
		return Lost, detail
	default:
		return Answered, detail
	}
}

// streamText joins the parts of a stream and tells whether it ended whole.
func streamText(body string) (string, bool) {
	var text strings.Builder
	whole := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
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
	return text.String(), whole
}

// placeOrder sends an order and repeats it with its key, at any router, while
// its outcome is unclear.
func (l *Load) placeOrder(id string, r *rand.Rand) {
	body := fmt.Sprintf(`{"id":%q}`, id)
	for range orderTries {
		base := l.router(r)
		if base == "" {
			continue
		}
		got := l.send(base+"/services/"+string(Environment)+"/portal/orders", body, "key-"+id)
		if got.err != nil && l.gone(base) {
			l.Tally.order(id, order{})
			continue
		}
		outcome, state, detail := judgeOrder(got, id)
		l.Tally.order(id, state)
		l.Tally.add(outcome, detail)
		if f, ok := parseRefusal(got.body); ok {
			l.Tally.refused("order: " + f.Error.Code + "/" + f.Error.Run)
			f.wait()
		}
		if outcome == Answered || state.notRun {
			return
		}
	}
}

func judgeOrder(r reply, id string) (Outcome, order, string) {
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
