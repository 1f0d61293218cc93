package idempotency

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/wire"
)

func TestMain(m *testing.M) {
	// Use a fixed seed unless a flag sets another.
	_ = flag.Set("rapid.seed", "1")
	goleak.VerifyTestMain(m)
}

const callLatency = 5 * time.Millisecond

// fakeStore is an in-memory object store with a latency. Its faults apply to
// the next writes.
type fakeStore struct {
	metastore.Store
	mu       sync.Mutex
	objects  map[string]metastore.Object
	version  metastore.Version
	down     bool
	loseNext int
	puts     int
}

func newFakeStore() *fakeStore { return &fakeStore{objects: make(map[string]metastore.Object)} }

func (s *fakeStore) Get(_ context.Context, key string) (metastore.Object, error) {
	time.Sleep(callLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return metastore.Object{}, &metastore.UnavailableError{Op: "get", RetryAfter: 3 * time.Second, Err: context.DeadlineExceeded}
	}
	o, ok := s.objects[key]
	if !ok {
		return o, &metastore.NotFoundError{Key: key}
	}
	return o, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, expect metastore.Version) (metastore.Version, error) {
	time.Sleep(callLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts++
	if s.down {
		return 0, &metastore.UnavailableError{Op: "put", Err: context.DeadlineExceeded}
	}
	if have := s.objects[key].Version; have != expect {
		return 0, &metastore.ConflictError{Key: key, Expected: expect, Actual: have}
	}
	s.version++
	s.objects[key] = metastore.Object{Key: key, Value: value, Version: s.version}
	if s.loseNext > 0 {
		s.loseNext--
		return 0, &metastore.UnavailableError{Op: "put", Err: context.DeadlineExceeded}
	}
	return s.version, nil
}

// fakeInquirer returns the same state for every attempt.
type fakeInquirer struct {
	mu        sync.Mutex
	state     wire.AttemptState
	err       error
	inquiries []ident.Attempt
}

func (a *fakeInquirer) Inquire(_ context.Context, _ Target, attempt ident.Attempt) (wire.AttemptState, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inquiries = append(a.inquiries, attempt)
	return a.state, a.err
}

type testManager struct {
	*Manager
	store    *fakeStore
	inquirer *fakeInquirer
}

func newTestManager(t *testing.T, store *fakeStore, name string, change func(*Options)) *testManager {
	inquirer := &fakeInquirer{state: wire.AttemptRunning}
	n := 0
	var mu sync.Mutex
	o := Options{
		Environment: "muotiennuste", Store: store, Inquirer: inquirer, Buckets: 1,
		Window: func() time.Duration { return time.Hour },
		NewAttempt: func() ident.Attempt {
			mu.Lock()
			defer mu.Unlock()
			n++
			return ident.Attempt(fmt.Sprintf("%s-%d", name, n))
		},
	}
	if change != nil {
		change(&o)
	}
	m := New(o)
	t.Cleanup(m.Close)
	return &testManager{Manager: m, store: store, inquirer: inquirer}
}

func chooseA() (Target, error) { return Target{VM: "a", Incarnation: 1}, nil }
func chooseB() (Target, error) { return Target{VM: "b", Incarnation: 2}, nil }

func (r *testManager) mustClaim(t *testing.T, key, fingerprint string) Outcome {
	t.Helper()
	out, err := r.Claim(t.Context(), key, fingerprint, chooseA)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func TestFirstClaimDispatchesAndSecondInquires(t *testing.T) {
	tests := []struct {
		name  string
		state wire.AttemptState
		err   error
		want  Kind
	}{
		{"running: joined", wire.AttemptRunning, nil, Join},
		{"finished: joined", wire.AttemptFinished, nil, Join},
		{"agent restarted", wire.AttemptUnknown, nil, Unknown},
		{"agent unreachable", "", context.DeadlineExceeded, Unknown},
		{"not run: key is moved", wire.AttemptNotRun, nil, Dispatch},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				first := newTestManager(t, store, "r1", nil).mustClaim(t, "k", "f")
				if first.Kind != Dispatch || first.Attempt != "r1-1" {
					t.Fatalf("first claim: %+v", first)
				}
				r2 := newTestManager(t, store, "r2", nil)
				r2.inquirer.state, r2.inquirer.err = test.state, test.err
				second := r2.mustClaim(t, "k", "f")
				if second.Kind != test.want {
					t.Fatalf("second claim: %+v", second)
				}
				if moved := second.Attempt != first.Attempt; moved != (test.want == Dispatch) {
					t.Fatalf("second claim has attempt %q", second.Attempt)
				}
				if len(r2.inquirer.inquiries) != 1 || r2.inquirer.inquiries[0] != first.Attempt {
					t.Fatalf("inquiries for %v", r2.inquirer.inquiries)
				}
			})
		})
	}
}

func TestKeyOfAnotherRequestIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestManager(t, newFakeStore(), "r", nil)
		r.mustClaim(t, "k", "f")
		_, err := r.Claim(t.Context(), "k", "other", chooseA)
		var reused *KeyReusedError
		if !errors.As(err, &reused) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestRecordedNotRunMovesClaimWithoutInquiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestManager(t, newFakeStore(), "r", nil)
		first := r.mustClaim(t, "k", "f")
		r.RecordNotRun(t.Context(), "k", first.Attempt)
		second, err := r.Claim(t.Context(), "k", "f", chooseB)
		if err != nil || second.Kind != Dispatch || second.Target.VM != "b" || second.Attempt == first.Attempt {
			t.Fatalf("got %+v, %v", second, err)
		}
		if len(r.inquirer.inquiries) != 0 {
			t.Fatalf("inquiries for %v", r.inquirer.inquiries)
		}
	})
}

func TestReleasedKeyIsClaimedWithoutInquiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		r := newTestManager(t, store, "r", nil)
		first := r.mustClaim(t, "k", "f")
		if err := r.Release(t.Context(), "k", first.Attempt); err != nil {
			t.Fatal(err)
		}
		other := newTestManager(t, store, "o", nil)
		other.inquirer.state = wire.AttemptUnknown
		if out := other.mustClaim(t, "k", "f"); out.Kind != Dispatch {
			t.Fatalf("got %+v", out)
		}
	})
}

func TestWriteWithLostResponseIsFoundByReread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.loseNext = 1
		r := newTestManager(t, store, "r", nil)
		if out := r.mustClaim(t, "k", "f"); out.Kind != Dispatch || out.Attempt != "r-1" {
			t.Fatalf("got %+v", out)
		}
		if store.puts != 1 {
			t.Fatalf("%d writes, want 1", store.puts)
		}
	})
}

func TestUnavailablePlatformFailsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.down = true
		r := newTestManager(t, store, "r", nil)
		start := time.Now()
		_, err := r.Claim(t.Context(), "k", "f", chooseA)
		var unavailable *PlatformError
		if !errors.As(err, &unavailable) || unavailable.RetryAfter != 3*time.Second {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(start); took > callLatency {
			t.Fatalf("took %v", took)
		}
		store.down = false
		if out := r.mustClaim(t, "k", "f"); out.Kind != Dispatch {
			t.Fatalf("claim after the outage: %+v", out)
		}
	})
}

func TestConcurrentClaimsShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = 100
		store := newFakeStore()
		r := newTestManager(t, store, "r", nil)
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				out, err := r.Claim(t.Context(), fmt.Sprint("k", i), "f", chooseA)
				if err != nil || out.Kind != Dispatch {
					t.Errorf("got %+v, %v", out, err)
				}
			})
		}
		wg.Wait()
		if store.puts > 2 {
			t.Fatalf("%d writes for %d claims", store.puts, callers)
		}
	})
}

func TestAlternatingRoutersWriteWithoutConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const claims = 10
		store := newFakeStore()
		routers := []*testManager{newTestManager(t, store, "r1", nil), newTestManager(t, store, "r2", nil)}
		for i := range claims {
			routers[i%len(routers)].mustClaim(t, fmt.Sprint("k", i), "f")
		}
		if store.puts != claims {
			t.Fatalf("%d writes for %d claims", store.puts, claims)
		}
	})
}

func TestKeyExpiresAfterWindowAndIsReusableAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestManager(t, newFakeStore(), "r", nil)
		r.mustClaim(t, "k", "f")
		time.Sleep(time.Hour + time.Second)
		_, err := r.Claim(t.Context(), "k", "f", chooseA)
		var expired *ExpiredError
		if !errors.As(err, &expired) || expired.Window != time.Hour {
			t.Fatalf("got %v", err)
		}
		time.Sleep(retentionWindows * time.Hour)
		if out := r.mustClaim(t, "k", "f"); out.Kind != Dispatch {
			t.Fatalf("got %+v", out)
		}
	})
}

func TestFullBucketRejectsOnlyNewKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestManager(t, newFakeStore(), "r", func(o *Options) { o.BucketBytes = 160 })
		r.mustClaim(t, "k1", "f")
		r.mustClaim(t, "k2", "f")
		_, err := r.Claim(t.Context(), "k3", "f", chooseA)
		var overflow *BucketFullError
		if !errors.As(err, &overflow) || overflow.RetryAfter <= 0 || overflow.RetryAfter > time.Hour {
			t.Fatalf("got %v", err)
		}
		r.inquirer.state = wire.AttemptNotRun
		if out := r.mustClaim(t, "k1", "f"); out.Kind != Dispatch {
			t.Fatalf("moved key in a full bucket: %+v", out)
		}
	})
}

func TestClaimAfterCloseFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestManager(t, newFakeStore(), "r", nil)
		r.Close()
		_, err := r.Claim(t.Context(), "k", "f", chooseA)
		var closed *ClosedError
		if !errors.As(err, &closed) {
			t.Fatalf("got %v", err)
		}
	})
}
