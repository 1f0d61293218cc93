package soak

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// orderResumes is the number of streams of a versionTest.
const orderResumes = 40

// versionTest is an installation with one engine, at whose first version streams have begun and
// broken off. The callers resume them at the first router.
type versionTest struct {
	*installation
	begun []*orderCall
}

func newVersionTest(t *testing.T) *versionTest {
	v := &versionTest{installation: newInstallation(t, orderWorker(t)+2, size{routers: 2, engines: 1, ownStores: true, engineProcesses: true})}
	v.awaitServed(0, softwareVersions[0])
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := range orderResumes {
		all.Go(func() {
			c := &orderCall{id: fmt.Sprint("first-", n), path: "/outlook/a", model: modelNames[0], events: 30, interval: 20 * time.Millisecond, leaves: 400 * time.Millisecond}
			a := c.do(v.routerAddress(0))
			mu.Lock()
			defer mu.Unlock()
			if len(a.events) > 0 && !a.complete {
				c.first, c.after, c.id, c.leaves = c.id, len(a.events), fmt.Sprint("second-", n), 0
				v.begun = append(v.begun, c)
			}
		})
	}
	all.Wait()
	if len(v.begun) == 0 {
		t.Fatal("no stream has begun")
	}
	return v
}

// resume resumes the streams at the first router and checks that none continues at another version.
func (v *versionTest) resume() {
	version := softwareVersions[0]
	var all sync.WaitGroup
	for _, c := range v.begun {
		all.Go(func() {
			a := c.do(v.routerAddress(0))
			if len(a.events) > 0 && a.events[len(a.events)-1].version != version {
				v.t.Errorf("%s, which began at %s, continues:%s", c.id, version, runsOf(a.events))
			}
		})
	}
	all.Wait()
}

// Rule ORDER: guards against streams that continue at another version at a router that wakes from a
// pause. All sidecars seem silent then, and the list is from before the engine started anew.
func TestStreamIsNotJoinedAtRouterThatWakes(t *testing.T) {
	v := newVersionTest(t)
	defer v.close()
	var all sync.WaitGroup
	all.Go(func() { v.routers[0].pause(4 * time.Second) })
	time.Sleep(100 * time.Millisecond)
	v.engines[0].replace(v.engines[0].current().ID, softwareVersions[1], 0, 0)
	v.awaitServed(1, softwareVersions[1])
	v.resume()
	all.Wait()
}

// Rule ORDER: guards against streams that continue at another version past a sidecar that is silent
// after it has ordered the load, by a router that is cut off from the store.
func TestStreamIsNotJoinedPastSilentSidecar(t *testing.T) {
	v := newVersionTest(t)
	defer v.close()
	var all sync.WaitGroup
	all.Go(func() { v.hold(v.routerStores[0], 5*time.Second, 0, true, true) })
	time.Sleep(100 * time.Millisecond)
	v.engines[0].replace(v.engines[0].current().ID, softwareVersions[1], 0, 0)
	v.awaitServed(1, softwareVersions[1])
	time.Sleep(500 * time.Millisecond)
	all.Go(func() { v.sidecars[0].pause(3 * time.Second) })
	time.Sleep(100 * time.Millisecond)
	v.resume()
	all.Wait()
}

// Rule ORDER: guards against streams that continue at another version because the list changes while
// they wait for their reservation: the engine has started as another VM, which loads a model.
func TestStreamIsNotJoinedAtVMThatReplacesItsOwn(t *testing.T) {
	v := newVersionTest(t)
	defer v.close()
	var all sync.WaitGroup
	all.Go(func() { v.hold(v.routerStores[0], 1500*time.Millisecond, 0, true, true) })
	time.Sleep(100 * time.Millisecond)
	v.engines[0].setLoadTime(1500 * time.Millisecond)
	v.engines[0].replace("i-0-1", softwareVersions[1], 0, 0)
	time.Sleep(time.Second)
	v.resume()
	all.Wait()
}

// Rule ORDER: guards against a stream that continues at another version, as its router was paused
// while the request waited, and the grant is from before the server started anew under its id.
func TestStreamIsNotJoinedByLateGrant(t *testing.T) {
	v := newVersionTest(t)
	defer v.close()
	var all sync.WaitGroup
	v.begun = v.begun[:min(6, len(v.begun))]
	e := v.engines[0]
	id := e.current().ID
	e.setLoadTime(1700 * time.Millisecond)
	e.replace(id, softwareVersions[0], 0, 0)
	time.Sleep(1100 * time.Millisecond)
	all.Go(func() { v.resume() })
	time.Sleep(100 * time.Millisecond)
	all.Go(func() { v.routers[0].pause(1700 * time.Millisecond) })
	time.Sleep(700 * time.Millisecond)
	e.setLoadTime(20 * time.Millisecond)
	e.replace(id, softwareVersions[1], 0, 0)
	all.Wait()
}
