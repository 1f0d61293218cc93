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

// inEngine runs a test with an engine on a fake clock.
func inEngine(t *testing.T, o EngineOptions, test func(*testing.T, *Engine)) {
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

func ask(t *testing.T, e *Engine, ctx context.Context, id, body string) (w *httptest.ResponseRecorder) {
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

const askM = `{"model":"m","messages":[{"role":"user","content":"a b"}],"max_tokens":4%s}`

func TestOrders(t *testing.T) {
	inEngine(t, EngineOptions{MemoryMB: 100, ChecksFences: true, RefuseOvercommit: true, LoadTimes: loadTimes, Models: []ident.Model{"m", "n"}}, func(t *testing.T, e *Engine) {
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

func TestEngineWithoutChecksTakesOldFencesAndOvercommits(t *testing.T) {
	inEngine(t, EngineOptions{MemoryMB: 100}, func(t *testing.T, e *Engine) {
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
	inEngine(t, EngineOptions{LoadTimes: loadTimes}, func(t *testing.T, e *Engine) {
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

func TestAnswers(t *testing.T) {
	inEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		if w := ask(t, e, t.Context(), "r0", fmt.Sprintf(askM, "")); w.Code != http.StatusNotFound || !strings.Contains(w.Body.String(), "model_not_found") {
			t.Fatalf("got %d %s", w.Code, w.Body)
		}
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		var whole openAIAnswer
		w := ask(t, e, t.Context(), "r1", fmt.Sprintf(askM, ""))
		if err := json.Unmarshal(w.Body.Bytes(), &whole); err != nil {
			t.Fatal(err)
		}
		want := Answer("m", "a b", 4)
		if got := whole.Choices[0].Message.Content; got != want || want != "m a b m" {
			t.Fatalf("got %q, want %q", got, want)
		}
		w = ask(t, e, t.Context(), "r2", fmt.Sprintf(askM, `,"stream":true`))
		events := strings.Split(strings.TrimSuffix(w.Body.String(), "\n\n"), "\n\n")
		var text string
		for _, event := range events[:len(events)-1] {
			var part openAIAnswer
			if err := json.Unmarshal([]byte(strings.TrimPrefix(event, "data: ")), &part); err != nil {
				t.Fatal(err)
			}
			text += part.Choices[0].Delta.Content
		}
		if text != want || events[len(events)-1] != "data: [DONE]" {
			t.Fatalf("got %q in %q", text, events)
		}
		if got := e.Runs(); !reflect.DeepEqual(got, map[string]int{"r1": 1, "r2": 1}) {
			t.Fatalf("got runs %v", got)
		}
	})
}

func TestAdaptersAreNamedAloneOrWithTheirModel(t *testing.T) {
	inEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		submit(t, e, "2", engine.OrderLoadAdapter, "m", 1, 1, "")
		synctest.Wait()
		for name, want := range map[string]int{"m": 200, "m:ad": 200, "ad": 200, "m:other": 404, "other": 404} {
			body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"x"}]}`, name)
			if w := ask(t, e, t.Context(), "r", body); w.Code != want {
				t.Errorf("%s: status %d, want %d", name, w.Code, want)
			}
		}
	})
}

func TestVersionsReplaceEachOtherOnlyAfterAnUnload(t *testing.T) {
	inEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
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

func TestResumedAnswerGoesOnWhereTheCallerWas(t *testing.T) {
	inEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
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

func TestBatchSharesItsTokenRate(t *testing.T) {
	inEngine(t, EngineOptions{TokensPerSecond: 4, TimeToFirstToken: time.Second}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		for _, crowd := range []int{1, 4} {
			start := time.Now()
			var all sync.WaitGroup
			for i := range crowd {
				all.Go(func() {
					ask(t, e, t.Context(), "r", strings.Replace(fmt.Sprintf(askM, ""), "a b", fmt.Sprint(crowd, i), 1))
				})
			}
			all.Wait()
			want := time.Second + 3*time.Duration(crowd)*250*time.Millisecond
			if got := time.Since(start); got != want {
				t.Errorf("%d requests took %v, want %v", crowd, got, want)
			}
		}
	})
}

func TestPrioritiesAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatch(1, 0, 0)
		if err := b.enter(t.Context(), 0); err != nil {
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
				if b.enter(ctx, priority) == nil {
					order = append(order, priority)
					b.leave()
				}
			})
			synctest.Wait()
		}
		time.Sleep(2 * time.Second)
		b.leave()
		all.Wait()
		if !reflect.DeepEqual(order, []int{2, 3}) || b.running != 0 {
			t.Fatalf("got order %v, %d running", order, b.running)
		}
	})
}

func TestClientGoneEndsTheRun(t *testing.T) {
	inEngine(t, EngineOptions{}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		e.SetFaults(EngineFaults{Stall: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Hour, cancel)
		ask(t, e, ctx, "r", fmt.Sprintf(askM, ""))
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
	inEngine(t, EngineOptions{TokensPerSecond: 1}, func(t *testing.T, e *Engine) {
		submit(t, e, "1", engine.OrderLoad, "m", 1, 60, "")
		synctest.Wait()
		var answered sync.WaitGroup
		answered.Go(func() {
			if w := ask(t, e, t.Context(), "r", fmt.Sprintf(askM, "")); !strings.Contains(w.Body.String(), "m a b m") {
				t.Errorf("got %s", w.Body)
			}
		})
		synctest.Wait()
		submit(t, e, "2", engine.OrderUnload, "m", 1, 0, "")
		synctest.Wait()
		if s := e.State(); len(s.Models) != 1 || s.Models[0].Phase != engine.PhaseUnloading {
			t.Fatalf("got %+v", s)
		}
		answered.Wait()
		synctest.Wait()
		if s := e.State(); len(s.Models) != 0 {
			t.Fatalf("got %+v", s)
		}
	})
}

func TestReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBatch(1, 10, time.Second)
		if err := b.enter(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		if r := b.report(); r.Running != 0 {
			t.Fatalf("got %+v at once", r)
		}
		time.Sleep(time.Second)
		if r := b.report(); r.Running != 1 || r.TokensPerSecond != 10 {
			t.Fatalf("got %+v after the lag", r)
		}
		c := &prefixCache{capacity: 1, lag: time.Second, gap: 2}
		c.use(1)
		c.use(2) // Added as event 2, which is lost; evicts 1 as event 3.
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
