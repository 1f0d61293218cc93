package hosted

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ingress"
	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/platform/platformtest"
	"github.com/laureltally/laureltally/serving"
)

// resumption is an installation in which all routers end while streams run, and callers
// resume their streams at the next one.
type resumption struct {
	*installation
	upstreams []*platformtest.Upstream
	versions  []string
	// engine is the engine whose sidecar is the home of all streams.
	engine      *platformtest.Upstream
	stopSidecar func()
}

const resumedStreams = 8

// newResumption starts a router, a sidecar and plain VMs with the given software versions,
// each of which breaks off the streams that begin at it after three events.
func newResumption(t *testing.T, versions ...string) *resumption {
	r := &resumption{installation: newInstallation(t)}
	c := writePlainConfig(r.installation, 1)
	c.Version = 2
	c.Services = append(c.Services, platformtest.Service{
		Name: "models", Models: engineModels[:1], MemoryMB: 100, ModelMB: 45, AdapterSlots: 2, Slots: 16, LoadSeconds: 1, DiskSeconds: 1, LoadsPerSecond: 1,
	})
	c.Write(r.store)
	for _, v := range versions {
		r.add(v)
	}
	r.engine = r.upstream(platformtest.UpstreamOptions{
		ID: "engine", Service: "models", Engine: &platformtest.EngineOptions{Loaded: engineModels[:1], MemoryMB: 100, ModelMB: 45, AdapterSlots: 2},
	})
	r.stopSidecar = r.startSidecar(r.engine, "models", "side-1")
	r.startLinkedRouter()
	return r
}

// add registers another VM with a software version.
func (r *resumption) add(version string) {
	r.versions = append(r.versions, version)
	u := r.upstream(platformtest.UpstreamOptions{
		ID: fmt.Sprint("vm-", len(r.upstreams)), Service: "portal", Software: version, Events: 8, EventInterval: 5 * time.Millisecond,
	})
	u.SetBehavior(truncateFirst(func(q *http.Request) platformtest.Behavior {
		// A router finds nobody that continues a stream within its response.
		return platformtest.Behavior{Decline: strings.HasPrefix(q.Header.Get("X-Request-Id"), "first-")}
	}))
	r.upstreams = append(r.upstreams, u)
}

// remove removes all VMs with a software version.
func (r *resumption) remove(version string) {
	for i, v := range r.versions {
		if v == version {
			r.store.RemoveServer(r.upstreams[i].ID())
		}
	}
}

func (r *resumption) begin() {
	r.t.Helper()
	for i := range resumedStreams {
		r.call(platformtest.Call{ID: first(i), Path: "/outlook/a", Body: "x"})
		if len(ranAt(r.upstreams, first(i))) != 1 {
			r.t.Fatalf("%s did not begin", first(i))
		}
	}
}

func first(i int) string  { return fmt.Sprint("first-", i) }
func second(i int) string { return fmt.Sprint("second-", i) }

// killRouters ends the router and, if homes is set, the sidecar, which forgets all streams.
func (r *resumption) killRouters(homes bool) {
	r.stop()
	<-r.stopped
	if !homes {
		return
	}
	r.stopSidecar()
	r.awaitPort("127.0.0.1")
	r.stopSidecar = r.startSidecar(r.engine, "models", "side-1")
}

// resume resumes all streams. It fails the test if one is joined from two versions, and
// returns how many continue.
func (r *resumption) resume() (resumed int) {
	r.t.Helper()
	for i := range resumedStreams {
		begun := time.Now()
		reply := r.call(platformtest.Call{ID: second(i), Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {first(i)}}})
		ran := ranAt(r.upstreams, second(i))
		switch {
		case len(ran) == 0 && reply.Status == http.StatusServiceUnavailable:
			if took := time.Since(begun); took > 3*time.Second {
				r.t.Errorf("%s is refused after %v", second(i), took)
			}
			continue
		case len(ran) != 1 || reply.Status != http.StatusOK || !strings.Contains(reply.Body, "8 of"):
			r.t.Errorf("%s ran at %v: %+v", second(i), ran, reply)
			continue
		}
		if from := ranAt(r.upstreams, first(i)); r.versions[from[0]] != r.versions[ran[0]] {
			r.t.Errorf("%s began at version %s and continues at %s", first(i), r.versions[from[0]], r.versions[ran[0]])
		}
		resumed++
	}
	return resumed
}

// Rules ORDER and LOST: all routers are killed around a release, and callers resume their
// streams at new routers, which saw neither the streams nor the old version. A stream
// continues at its version or not at all, and it continues if a VM has its version and the
// store or a sidecar knows which one that is. The second one guards against streams that nobody
// can continue as all routers and sidecars have ended while two versions serve.
func TestStreamsAfterAllRoutersWereKilled(t *testing.T) {
	t.Parallel()
	for name, tc := range map[string]struct {
		versions []string
		// homes is set if sidecars are killed too.
		homes bool
		// before, during and after change the VMs before the kill, while no router runs,
		// and once the next one does.
		before, during, after func(*resumption)
		resumed               int
	}{
		"one version":                  {versions: []string{"v1", "v1"}, resumed: resumedStreams},
		"one version, homes killed":    {versions: []string{"v1", "v1"}, homes: true, resumed: resumedStreams},
		"two versions":                 {versions: []string{"v1", "v2"}, resumed: resumedStreams},
		"two versions, homes killed":   {versions: []string{"v1", "v2"}, homes: true, resumed: resumedStreams},
		"two versions, killed again":   {versions: []string{"v1", "v2"}, homes: true, after: func(r *resumption) { r.killRouters(true); r.startRouter() }, resumed: resumedStreams},
		"two versions, third joins":    {versions: []string{"v1", "v2"}, homes: true, during: func(r *resumption) { r.add("v3") }, resumed: resumedStreams},
		"two versions, store restored": {versions: []string{"v1", "v2"}, homes: true, during: func(r *resumption) { r.store.Restore(r.store.Copy()) }, resumed: resumedStreams},
		"archive lost with a restore": {versions: []string{"v1", "v2"}, homes: true, during: func(r *resumption) {
			for _, name := range r.store.Names("streams") {
				r.store.Remove("streams", name)
			}
			r.store.Restore(r.store.Copy())
		}},
		"old version gone while down":  {versions: []string{"v1"}, during: func(r *resumption) { r.add("v2"); r.remove("v1") }},
		"the same, homes killed":       {versions: []string{"v1"}, homes: true, during: func(r *resumption) { r.add("v2"); r.remove("v1") }},
		"old version gone afterwards":  {versions: []string{"v1"}, homes: true, before: func(r *resumption) { r.add("v2"); time.Sleep(time.Second) }, after: func(r *resumption) { r.remove("v1"); time.Sleep(time.Second) }},
		"old version gone before":      {versions: []string{"v1", "v2"}, homes: true, before: func(r *resumption) { r.remove("v1"); time.Sleep(time.Second) }},
		"new version joins while down": {versions: []string{"v1"}, homes: true, during: func(r *resumption) { r.add("v2") }},
		"store restored while down":    {versions: []string{"v1"}, homes: true, during: func(r *resumption) { r.store.Restore(r.store.Copy()); r.add("v2"); r.remove("v1") }},
		"record lost with a restore": {versions: []string{"v1"}, homes: true, during: func(r *resumption) {
			r.store.Remove("software", "versions")
			r.store.Restore(r.store.Copy())
			r.add("v2")
			r.remove("v1")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newResumption(t, tc.versions...)
			r.begin()
			apply := func(change func(*resumption)) {
				if change != nil {
					change(r)
				}
			}
			apply(tc.before)
			r.killRouters(tc.homes)
			apply(tc.during)
			r.startRouter()
			apply(tc.after)
			if got := r.resume(); got < tc.resumed {
				t.Errorf("%d of %d streams continue, want %d", got, resumedStreams, tc.resumed)
			}
		})
	}
}

// Rule LOST: a router that read the VM list before the configuration did not know which VMs
// have sidecars until its next read of the list, and refused streams that the sidecars knew.
func TestStreamsResumeOnceARouterIsReady(t *testing.T) {
	t.Parallel()
	r := newResumption(t, "v1", "v2")
	r.begin()
	r.killRouters(false)
	r.adjust = func(o *ingress.Options) {
		o.Directory = lateConfig{o.Directory}
		// The next read of the list comes after the streams were resumed.
		o.PollInterval = time.Minute
	}
	r.startRouter()
	if got := r.resume(); got != resumedStreams {
		t.Errorf("%d of %d streams continue", got, resumedStreams)
	}
}

// lateConfig is a directory that returns the configuration later than the VM list.
type lateConfig struct{ fleet.Directory }

// Config implements fleet.Directory.
func (d lateConfig) Config(ctx context.Context) (*serving.Config, error) {
	if err := wait.Sleep(ctx, 300*time.Millisecond); err != nil {
		return nil, err
	}
	return d.Directory.Config(ctx)
}

// A caller that resumes a stream a second time may name either attempt.
func TestStreamIsResumedTwice(t *testing.T) {
	t.Parallel()
	r := newResumption(t, "v1", "v2")
	for _, u := range r.upstreams {
		u.SetBehavior(func(_ int, q *http.Request) platformtest.Behavior {
			switch q.Header.Get("Last-Event-Id") {
			case "":
				return platformtest.Behavior{TruncateAfter: 3}
			case "3":
				return platformtest.Behavior{TruncateAfter: 5, Decline: strings.HasPrefix(q.Header.Get("X-Request-Id"), "first-")}
			}
			return platformtest.Behavior{Decline: !strings.HasPrefix(q.Header.Get("X-Request-Id"), "third-")}
		})
	}
	r.begin()
	for i := range resumedStreams {
		r.call(platformtest.Call{ID: second(i), Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {first(i)}}})
	}
	r.killRouters(false)
	r.startRouter()
	for i := range resumedStreams {
		third, named := fmt.Sprint("third-", i), first(i)
		if i%2 == 0 {
			named = second(i)
		}
		reply := r.call(platformtest.Call{ID: third, Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"5"}, "Resumes": {named}}})
		from, to := ranAt(r.upstreams, first(i)), ranAt(r.upstreams, third)
		if reply.Status != http.StatusOK || len(to) != 1 || r.versions[from[0]] != r.versions[to[0]] {
			t.Errorf("%s, naming %s: began at %v, continues at %v: %+v", third, named, from, to, reply)
		}
	}
}

// A sidecar restarts, or joins in a release in place of the one that was told, while a stream
// runs, and then the router is killed. The stream was told again and continues.
func TestRunningStreamIsToldToNewHomes(t *testing.T) {
	t.Parallel()
	r := newResumption(t, "v1", "v2")
	for _, u := range r.upstreams {
		u.SetStream(100, 50*time.Millisecond)
		u.SetBehavior(always(platformtest.Behavior{}))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.call(platformtest.Call{ID: first(0), Path: "/outlook/a", Body: "x"})
	}()
	r.eventually("the stream has begun", func() bool { return len(ranAt(r.upstreams, first(0))) == 1 })
	time.Sleep(200 * time.Millisecond)
	r.stopSidecar()
	r.awaitPort("127.0.0.1")
	r.stopSidecar = r.startSidecar(r.engine, "models", "side-1")
	time.Sleep(2 * time.Second)
	r.killRouters(false)
	<-done
	r.startRouter()
	for _, u := range r.upstreams {
		u.SetStream(100, time.Millisecond)
	}
	reply := r.call(platformtest.Call{ID: second(0), Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {first(0)}}})
	from, to := ranAt(r.upstreams, first(0)), ranAt(r.upstreams, second(0))
	if reply.Status != http.StatusOK || len(to) != 1 || r.versions[from[0]] != r.versions[to[0]] {
		t.Errorf("began at %v, continues at %v: %+v", from, to, reply)
	}
}

// Rule LOST: guards against streams that nobody can continue since they began while their version
// was the only one: another one joins while they run, and then all routers and sidecars are killed.
func TestRunningStreamIsArchivedOnceAnotherVersionJoins(t *testing.T) {
	t.Parallel()
	r := newResumption(t, "v1")
	r.upstreams[0].SetStream(100, 50*time.Millisecond)
	r.upstreams[0].SetBehavior(always(platformtest.Behavior{}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.call(platformtest.Call{ID: first(0), Path: "/outlook/a", Body: "x"})
	}()
	r.eventually("the stream has begun", func() bool { return len(ranAt(r.upstreams, first(0))) == 1 })
	r.add("v2")
	time.Sleep(2 * time.Second)
	r.killRouters(true)
	<-done
	r.startRouter()
	r.upstreams[0].SetStream(100, time.Millisecond)
	reply := r.call(platformtest.Call{ID: second(0), Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {first(0)}}})
	if to := ranAt(r.upstreams, second(0)); reply.Status != http.StatusOK || len(to) != 1 || to[0] != 0 {
		t.Errorf("continues at %v: %+v", to, reply)
	}
}

// Rule ORDER: guards against streams of a plain service that continue at another version: its servers
// have started again under their ids, and the router's list is from before. Streams that begin at
// them are known by their version.
func TestStreamIsNotJoinedAtPlainServerThatStartedAgain(t *testing.T) {
	t.Parallel()
	r := newResumption(t, "v1", "v1")
	r.killRouters(false)
	r.adjust = func(o *ingress.Options) { o.PollInterval = time.Minute }
	r.startRouter()
	r.begin()
	startAgain := func(version string) {
		for _, u := range r.upstreams {
			if err := u.StartAgain(version); err != nil {
				t.Fatal(err)
			}
			u.Register(r.store, "ready")
		}
	}
	startAgain("v2")
	for i := range resumedStreams {
		reply := r.call(platformtest.Call{ID: second(i), Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {first(i)}}})
		if ran := ranAt(r.upstreams, second(i)); len(ran) > 0 || reply.Status != http.StatusServiceUnavailable {
			t.Errorf("%s continues at the other version: %+v", second(i), reply)
		}
	}
	const id = "first-later"
	r.eventually("a stream begins at the new version", func() bool {
		r.call(platformtest.Call{ID: id, Path: "/outlook/a", Body: "x"})
		return len(ranAt(r.upstreams, id)) > 0
	})
	startAgain("v1")
	reply := r.call(platformtest.Call{ID: "second-later", Path: "/outlook/a", Body: "x", Header: http.Header{"Last-Event-Id": {"3"}, "Resumes": {id}}})
	if ran := ranAt(r.upstreams, "second-later"); len(ran) > 0 {
		t.Errorf("a stream of the new version continues at the old one: %+v", reply)
	}
}

// unwritable is a store that accepts no writes.
type unwritable struct{ metastore.Store }

// Put implements metastore.Store.
func (unwritable) Put(context.Context, string, []byte, metastore.Version) (metastore.Version, error) {
	return 0, &metastore.UnavailableError{Op: "put", Err: io.ErrUnexpectedEOF}
}

// A resumable stream does not begin at a version that the store has not recorded: if all
// routers and sidecars were killed, nobody would know that the version was in use. Other
// requests do not wait for the store.
func TestResumableStreamBeginsAtARecordedVersion(t *testing.T) {
	t.Parallel()
	in, both := newPlainInstallation(t, platformtest.UpstreamOptions{Events: 2})
	upstreams := both[:]
	in.stop()
	<-in.stopped
	in.store.Remove("software", "versions")
	in.adjust = func(o *ingress.Options) { o.Store = unwritable{o.Store} }
	in.startRouter()
	if r := in.call(platformtest.Call{ID: "resumable", Path: "/outlook/a", Body: "x"}); r.Status != http.StatusServiceUnavailable || len(ranAt(upstreams, "resumable")) != 0 {
		t.Errorf("resumable stream at an unrecorded version: %+v, ran at %v", r, ranAt(upstreams, "resumable"))
	}
	if r := in.call(platformtest.Call{ID: "draft", Path: "/draft/a", Body: "x"}); r.Status != http.StatusOK {
		t.Errorf("stream that can't be resumed: %+v", r)
	}
	in.stop()
	<-in.stopped
	in.adjust = nil
	in.startRouter()
	if r := in.call(platformtest.Call{ID: "later", Path: "/outlook/a", Body: "x"}); r.Status != http.StatusOK {
		t.Errorf("resumable stream while the store accepts writes: %+v", r)
	}
}
