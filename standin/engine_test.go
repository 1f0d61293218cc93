package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/ident"
)

var loadTimes = map[engine.Tier]time.Duration{
	engine.TierMemory: time.Second,
	engine.TierDisk:   10 * time.Second,
	engine.TierRemote: time.Minute,
}

// withEngine runs a test with an engine on a fake clock.
func withEngine(t *testing.T, o EngineOptions, test func(*testing.T, *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(o)
		defer e.Close()
		test(t, e)
	})
}

func submit(t *testing.T, e *Engine, id string, kind engine.OrderKind, model ident.Model, fence ident.Fence, mb int64, want engine.ProblemCode) {
	t.Helper()
	p := e.Submit(engine.Order{ID: id, Kind: kind, Model: model, Adapter: "ad", Fence: fence, MemoryMB: mb})
	if (p == nil && want != "") || (p != nil && p.Code != want) {
		t.Fatalf("order %s: got %v, want %q", id, p, want)
	}
}

func postChat(t *testing.T, e *Engine, ctx context.Context, id, body string) (w *httptest.ResponseRecorder) {
	t.Helper()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	w = httptest.NewRecorder()
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			panic(v)
		}
	}()
	e.ServeHTTP(w, r)
	return w
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"a b"}],"max_tokens":4%s}`

func TestOrders(t *testing.T) {
	withEngine(t, EngineOptions{MemoryMB: 100, ChecksFences: true, RefuseOvercommit: true, LoadTimes: loadTimes, Models: []ident.Model{"m", "n"}}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 5, 60, "")
		submit(t, e, "2", engine.OrderUnload, "m", 5, 0, engine.ProblemBusy)
		submit(t, e, "3", engine.OrderLoad, "n", 1, 60, engine.ProblemMemory)
		submit(t, e, "4", engine.OrderLoad, "x", 1, 1, engine.ProblemUnknownModel)
		submit(t, e, "", engine.OrderLoad, "m", 5, 1, engine.ProblemMalformed)
		if s := e.State(); s.UsedMB != 60 || s.Models[0].Phase != engine.PhaseLoading || !reflect.DeepEqual(s.RunningOrders, []string{"1"}) {
			t.Fatalf("got %+v", s)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		submit(t, e, "5", engine.OrderUnload, "m", 4, 0, engine.ProblemStaleFence)
		submit(t, e, "6", engine.OrderLoadAdapter, "m", 6, 10, "")
		synctest.Wait()
		if s := e.State(); s.UsedMB != 70 || s.Models[0].Adapters[0] != "ad" || s.Models[0].Fence != 6 {
			t.Fatalf("got %+v", s)
		}
		submit(t, e, "7", engine.OrderUnload, "m", 6, 0, "")
		submit(t, e, "8", engine.OrderLoad, "m", 6, 1, engine.ProblemBusy)
		submit(t, e, "7", engine.OrderUnload, "m", 6, 0, "")
		synctest.Wait()
		submit(t, e, "1", engine.OrderLoad, "m", 6, 60, "")
		if s := e.State(); len(s.Models) != 0 || len(s.RunningOrders) != 0 || s.Tiers["m"] != engine.TierMemory {
			t.Fatalf("got %+v", s)
		}
		if c := e.Counters(); c.PeakMB != 70 || c.Overcommits != 1 || c.Loads != 1 || c.Unloads != 1 || c.StaleFences != 1 {
			t.Fatalf("got %+v", c)
		}
	})
}

func TestEngineWithoutChecksAcceptsStaleFencesAndOvercommits(t *testing.T) {
	withEngine(t, EngineOptions{MemoryMB: 100}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 5, 60, "")
		submit(t, e, "2", engine.OrderLoad, "n", 5, 60, "")
		synctest.Wait()
		submit(t, e, "3", engine.OrderUnload, "m", 4, 0, "")
		if c := e.Counters(); c.PeakMB != 120 || c.Overcommits != 1 {
			t.Fatalf("got %+v", c)
		}
	})
}

func TestLoadFaults(t *testing.T) {
	withEngine(t, EngineOptions{LoadTimes: loadTimes}, func(t *testing.T, e *Engine) {
		e.SetFaults(EngineFaults{FailLoads: 1, HangOrders: true})
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		time.Sleep(time.Hour)
		if s := e.State(); len(s.RunningOrders) != 1 {
			t.Fatalf("a hanging order ended: %+v", s)
		}
		e.SetFaults(EngineFaults{FailLoads: 1})
		time.Sleep(time.Minute)
		synctest.Wait()
		if s := e.State(); len(s.Models) != 0 || len(s.RunningOrders) != 0 {
			t.Fatalf("got %+v", s)
		}
		submit(t, e, "2", engine.OrderLoad, "m", 1, 60, "")
		before := e.State().Instance
		e.Restart()
		if s := e.State(); len(s.Models) != 0 || s.Instance == before {
			t.Fatalf("got %+v", s)
		}
		time.Sleep(time.Hour)
		if s := e.State(); len(s.Models) != 0 {
			t.Fatalf("an order outlived the restart: %+v", s)
		}
	})
}

func TestResponses(t *testing.T) {
	withEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		if w := postChat(t, e, t.Context(), "r0", fmt.Sprintf(chatBody, "")); w.Code != http.StatusNotFound || !strings.Contains(w.Body.String(), "model_not_found") {
			t.Fatalf("got %d %s", w.Code, w.Body)
		}
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		var complete openAIResponse
		w := postChat(t, e, t.Context(), "r1", fmt.Sprintf(chatBody, ""))
		if err := json.Unmarshal(w.Body.Bytes(), &complete); err != nil {
			t.Fatal(err)
		}
		want := ResponseText("m", "a b", 4)
		if got := complete.Choices[0].Message.Content; got != want || want != "m a b m" {
			t.Fatalf("got %q, want %q", got, want)
		}
		w = postChat(t, e, t.Context(), "r2", fmt.Sprintf(chatBody, `,"stream":true`))
		events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
		var text string
		for _, event := range events[:len(events)-1] {
			var chunk openAIResponse
			if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &chunk); err != nil {
				t.Fatal(err)
			}
			text += chunk.Choices[0].Delta.Content
		}
		if text != want || events[len(events)-1] != "data: [DONE]" {
			t.Fatalf("got %q in %q", text, events)
		}
		if got := e.Runs(); !reflect.DeepEqual(got, map[string]int{"r1": 1, "r2": 1}) {
			t.Fatalf("got runs %v", got)
		}
	})
}

func TestAdapterIsNamedAloneOrWithItsModel(t *testing.T) {
	withEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		submit(t, e, "2", engine.OrderLoadAdapter, "m", 1, 1, "")
		synctest.Wait()
		for name, want := range map[string]int{"m": 200, "m:ad": 200, "ad": 200, "m:other": 404, "other": 404} {
			body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}]}`, name)
			if w := postChat(t, e, t.Context(), "r", body); w.Code != want {
				t.Errorf("%s: status %d, want %d", name, w.Code, want)
			}
		}
	})
}

func TestNewVersionLoadsOnlyAfterUnload(t *testing.T) {
	withEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		load := func(id, version string) *engine.Problem {
			defer synctest.Wait()
			return e.Submit(engine.Order{ID: id, Kind: engine.OrderLoad, Model: "m", Version: version, MemoryMB: 1})
		}
		if p := load("1", "v1"); p != nil || e.State().Models[0].Version != "v1" {
			t.Fatalf("got %v, %+v", p, e.State())
		}
		if p := load("2", "v2"); p == nil || p.Code != engine.ProblemBusy {
			t.Fatalf("got %v", p)
		}
		submit(t, e, "3", engine.OrderUnload, "m", 0, 0, "")
		synctest.Wait()
		if p := load("4", "v2"); p != nil || e.State().Models[0].Version != "v2" {
			t.Fatalf("got %v, %+v", p, e.State())
		}
	})
}

func TestResumedResponseSkipsReceivedTokens(t *testing.T) {
	withEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(`{"model":"m","prompt":"a b","max_tokens":4}`))
		r.Header.Set(ResumeHeader, "2")
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		if want := `"text":" b m"`; !strings.Contains(w.Body.String(), want) || len(e.Runs()) != 0 || e.Counters().Resumed != 1 {
			t.Fatalf("got %s, runs %v, want %s", w.Body, e.Runs(), want)
		}
	})
}

func TestBatchSharesTokenRate(t *testing.T) {
	withEngine(t, EngineOptions{TokensPerSecond: 4, TimeToFirstToken: time.Second}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		for _, requests := range []int{1, 4} {
			start := time.Now()
			var all sync.WaitGroup
			for i := range requests {
				all.Go(func() {
					postChat(t, e, t.Context(), "r", strings.Replace(fmt.Sprintf(chatBody, ""), "a b", fmt.Sprint(requests, i), 1))
				})
			}
			all.Wait()
			want := time.Second + 3*time.Duration(requests)*250*time.Millisecond
			if got := time.Since(start); got != want {
				t.Errorf("%d requests took %v, want %v", requests, got, want)
			}
		}
	})
}

func TestPrioritiesAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatch(1, 0, 0)
		if err := b.acquire(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		var order []int
		var all sync.WaitGroup
		for _, priority := range []int{3, 1, 2} {
			all.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if priority == 1 {
					time.AfterFunc(time.Second, cancel)
				}
				if b.acquire(ctx, priority) == nil {
					order = append(order, priority)
					b.release()
				}
			})
			synctest.Wait()
		}
		time.Sleep(2 * time.Second)
		b.release()
		all.Wait()
		if !reflect.DeepEqual(order, []int{2, 3}) || b.running != 0 {
			t.Fatalf("got order %v, %d running", order, b.running)
		}
	})
}

func TestClientDisconnectEndsTheRun(t *testing.T) {
	withEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		e.SetFaults(EngineFaults{Stall: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Hour, cancel)
		postChat(t, e, ctx, "r", fmt.Sprintf(chatBody, ""))
		if c := e.Counters(); c.Cancelled != 1 || e.batch.running != 0 {
			t.Fatalf("got %+v, %d running", c, e.batch.running)
		}
		submit(t, e, "2", engine.OrderUnload, "m", 1, 0, "")
		synctest.Wait()
		if s := e.State(); len(s.Models) != 0 {
			t.Fatalf("got %+v", s)
		}
	})
}

func TestUnloadWaitsForRequests(t *testing.T) {
	withEngine(t, EngineOptions{TokensPerSecond: 1}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		var requests sync.WaitGroup
		requests.Go(func() {
			if w := postChat(t, e, t.Context(), "r", fmt.Sprintf(chatBody, "")); !strings.Contains(w.Body.String(), "m a b m") {
				t.Errorf("got %s", w.Body)
			}
		})
		synctest.Wait()
		submit(t, e, "2", engine.OrderUnload, "m", 1, 0, "")
		synctest.Wait()
		if s := e.State(); len(s.Models) != 1 || s.Models[0].Phase != engine.PhaseUnloading {
			t.Fatalf("got %+v", s)
		}
		requests.Wait()
		synctest.Wait()
		if s := e.State(); len(s.Models) != 0 {
			t.Fatalf("got %+v", s)
		}
	})
}

func TestReportsAreDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatch(1, 10, time.Second)
		if err := b.acquire(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		if r := b.report(); r.Running != 0 {
			t.Fatalf("got %+v at once", r)
		}
		time.Sleep(time.Second)
		if r := b.report(); r.Running != 1 || r.TokensPerSecond != 10 {
			t.Fatalf("got %+v after the lag", r)
		}
		c := &prefixCache{capacity: 1, lag: time.Second, dropInterval: 2}
		c.access(1)
		c.access(2) // Added as event 2, which is dropped; evicts 1 as event 3.
		if got := c.eventsSince(0); len(got.Events) != 0 {
			t.Fatalf("got %+v at once", got)
		}
		time.Sleep(time.Second)
		want := engine.CacheEvents{Next: 4, Events: []engine.CacheEvent{{Seq: 1, PrefixHash: 1}, {Seq: 3, PrefixHash: 1, Evicted: true}}}
		if got := c.eventsSince(0); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}
