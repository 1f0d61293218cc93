package heldbytes

import (
	"slices"
	"testing"
	"time"
)

// Guards against a budget that is exceeded without a bound by what is always taken, and against
// refusing it while somebody can be disconnected. Fails if Admit is Hold.
func TestNothingIsAdmittedBeyondHardLimit(t *testing.T) {
	b := NewBudget(1000)
	working := &Holder{}
	b.Hold(start, working, 1200)
	if list, ok := b.Admit(start, &Holder{}, 50, 1); !ok || list != nil {
		t.Errorf("within the hard limit: %v %v", list, ok)
	}
	late := &Holder{}
	if list, ok := b.Admit(start, late, 50, 1); ok || list != nil || late.Bytes() != 0 || b.Files() != 1 {
		t.Errorf("beyond the hard limit: %v %v, %d bytes, %d files", list, ok, late.Bytes(), b.Files())
	}
	b.Idle(working, start)
	if list, ok := b.Admit(start.Add(MinStall), late, 50, 1); !ok || !slices.Equal(list, []*Holder{working}) {
		t.Errorf("with an idle peer: %v %v", list, ok)
	}
}

// Guards against disconnecting a peer for what only makes another one faster.
func TestSpareBytesDisconnectNobody(t *testing.T) {
	b := NewBudget(100)
	stalledPeer(b, Urgency{}, 60, start)
	h := &Holder{}
	if b.Spare(h, 16) || !b.Spare(h, 15) || h.Bytes() != 15 {
		t.Errorf("%d bytes taken", h.Bytes())
	}
}

// Guards against peers that use all descriptors: the longest idle makes room, and with nobody to
// disconnect, the new one is refused. Fails if choose counts bytes alone.
func TestDescriptorsAreBounded(t *testing.T) {
	b := NewBudget(1 << 20)
	b.SetMaxFiles(3)
	var peers []*Holder
	for i := range 3 {
		h := &Holder{}
		if _, ok := b.Admit(start, h, 1, 1); !ok {
			t.Fatal("refused within the limit")
		}
		b.Idle(h, start.Add(time.Duration(i)*time.Millisecond))
		peers = append(peers, h)
	}
	now := start.Add(time.Second)
	h := &Holder{}
	if list, ok := b.Admit(now, h, 1, 1); !ok || !slices.Equal(list, peers[:1]) {
		t.Errorf("disconnects %v, admitted %v", list, ok)
	}
	b.Remove(peers[0])
	for _, h := range peers[1:] {
		b.Progress(h)
	}
	if list, ok := b.Admit(now, &Holder{}, 1, 1); ok || list != nil {
		t.Errorf("disconnects %v, admitted %v, but all are working", list, ok)
	}
	b.ReleaseFiles(peers[1], 1)
	if _, ok := b.Admit(now, h, 1, 1); !ok || b.Files() != 3 {
		t.Errorf("admitted %v, %d descriptors", ok, b.Files())
	}
}

// Guards against disconnecting a request where a connection without one would do, and one whose
// urgency is known before a crowd that has sent none. Fails if before ignores idle or known.
func TestIdlePeersAreDisconnectedFirstAmongEquals(t *testing.T) {
	b := NewBudget(500)
	u := Urgency{Tenant: 1}
	owes := stalledPeer(b, u, 100, start)
	kept := stalledPeer(b, u, 100, start)
	b.Idle(kept, start.Add(time.Second))
	fresh := &Holder{}
	b.Hold(start, fresh, 100)
	b.Idle(fresh, start.Add(time.Second))
	urgent := stalledPeer(b, Urgency{}, 100, start)
	b.Idle(urgent, start)
	b.Hold(start, &Holder{}, 100)
	now, other := start.Add(10*time.Second), &Holder{}
	for i, want := range []*Holder{fresh, kept, owes, urgent} {
		got := b.Hold(now, other, 100)
		if !slices.Equal(got, []*Holder{want}) {
			t.Fatalf("step %d: disconnects %v, want %v", i, got, want)
		}
		b.Remove(want)
	}
}

// Guards against disconnecting ordinary callers that have just connected in place of readers that
// have just stalled, in a burst beyond the hard limit.
func TestNewConnectionsComeLastInBurst(t *testing.T) {
	b := NewBudget(1000)
	reader := stalledPeer(b, Urgency{}, 700, start.Add(time.Millisecond))
	ordinary := &Holder{}
	b.Hold(start, ordinary, 500)
	b.Idle(ordinary, start)
	if got := b.Hold(start.Add(2*time.Millisecond), &Holder{}, 100); !slices.Equal(got, []*Holder{reader}) {
		t.Errorf("disconnects %v", got)
	}
}

// Guards against a peer that stays by sending a byte now and then, and against one that is
// disconnected though it sends as fast as it has to. Fails if Received starts the stall anew.
func TestSenderOfSingleBytesIsStalled(t *testing.T) {
	b := NewBudget(200)
	now := start
	trickles, steady := stalledPeer(b, Urgency{}, 100, start), stalledPeer(b, Urgency{}, 100, start)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		b.Received(now, trickles, 1)
		b.Received(now, steady, minSendRate/10+1)
	}
	if d := trickles.StalledFor(now); d < 19*100*time.Millisecond {
		t.Errorf("one byte every 100 ms: stalled for %v", d)
	}
	if got := b.Hold(now, &Holder{}, 150); !slices.Equal(got, []*Holder{trickles}) || steady.StalledFor(now) != 0 {
		t.Errorf("disconnects %v, the steady one is stalled for %v", got, steady.StalledFor(now))
	}
}
