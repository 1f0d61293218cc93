package heldbytes

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stalledPeer returns a peer that holds n bytes and has been stalled since a time.
func stalledPeer(b *Budget, u Urgency, n int64, since time.Time) *Holder {
	h := &Holder{}
	b.SetUrgency(h, u)
	b.Hold(since, h, n)
	b.Stall(h, since)
	return h
}

// Guards against disconnecting a more urgent peer, one that has just stalled, or one that
// reads. Fails if before compares the times alone.
func TestLongestStalledAmongLeastUrgentIsDisconnected(t *testing.T) {
	b := NewBudget(500)
	urgent := stalledPeer(b, Urgency{Tenant: 0, Route: 9}, 100, start)
	longer := stalledPeer(b, Urgency{Tenant: 1, Route: 2}, 100, start.Add(time.Second))
	shorter := stalledPeer(b, Urgency{Tenant: 1, Route: 2}, 100, start.Add(2*time.Second))
	route := stalledPeer(b, Urgency{Tenant: 1, Route: 0}, 100, start)
	reads := stalledPeer(b, Urgency{Tenant: 9}, 100, start)
	b.Progress(reads)
	now := start.Add(10 * time.Second)
	other := &Holder{}
	for i, want := range []*Holder{longer, shorter, route, urgent} {
		got := b.Hold(now, other, 100)
		if !slices.Equal(got, []*Holder{want}) {
			t.Fatalf("step %d: disconnects %v, want %v", i, got, want)
		}
		b.Remove(want)
	}
	if got := b.Hold(now, other, 100); got != nil {
		t.Errorf("disconnects %v, but only a peer that reads is left", got)
	}
}

// Guards against disconnecting a peer for a pause that any network causes. Fails without
// MinStall.
func TestPeerThatHasJustStalledStays(t *testing.T) {
	b := NewBudget(100)
	h := stalledPeer(b, Urgency{}, 100, start)
	other := &Holder{}
	const lostPacket = 200 * time.Millisecond
	if got := b.Hold(start.Add(lostPacket), other, 10); got != nil {
		t.Errorf("disconnected after %v", lostPacket)
	}
	if got := b.Hold(start.Add(MinStall), other, 10); !slices.Equal(got, []*Holder{h}) {
		t.Errorf("disconnects %v after %v", got, MinStall)
	}
}

// Guards against a burst of callers that exceeds the budget before any of them has been
// stalled for MinStall, and against disconnecting more of them than needed. Fails without
// hardShare.
func TestBurstStaysWithinHardLimit(t *testing.T) {
	b := NewBudget(1000)
	for i := range 20 {
		h := &Holder{}
		for _, gone := range b.Hold(start, h, 100) {
			b.Remove(gone)
		}
		b.Stall(h, start)
		if want := min(int64(i+1)*100, 1200); b.Held() != want {
			t.Fatalf("%d peers: %d bytes held, want %d", i+1, b.Held(), want)
		}
	}
}

// Guards against a budget that stays exceeded because nothing is asked for any more. Fails
// if Trim does nothing.
func TestExceededBudgetIsTrimmedLater(t *testing.T) {
	b := NewBudget(100)
	h := stalledPeer(b, Urgency{}, 120, start)
	if !b.Exceeded() || b.Trim(start.Add(MinStall/2)) != nil {
		t.Error("trimmed too early")
	}
	if got := b.Trim(start.Add(MinStall)); !slices.Equal(got, []*Holder{h}) || b.Exceeded() {
		t.Errorf("disconnects %v", got)
	}
}

// Guards against disconnecting peers for a reservation that fails all the same, for a
// less urgent one, or for the peer's own buffer.
func TestReservationDisconnectsNobodyInVain(t *testing.T) {
	b := NewBudget(300)
	now := start.Add(time.Minute)
	urgent := stalledPeer(b, Urgency{Route: 0}, 100, start)
	stalledPeer(b, Urgency{Route: 2}, 100, start)
	h := &Holder{}
	b.SetUrgency(h, Urgency{Route: 1})
	if got, ok := b.Reserve(now, h, 250); ok || got != nil {
		t.Errorf("250 bytes: %v %v, though only 200 can be free", got, ok)
	}
	if got, ok := b.Reserve(now, h, 200); !ok || len(got) != 1 || b.Held() != 400 {
		t.Errorf("200 bytes: %v %v, %d held", got, ok, b.Held())
	}
	if got, ok := b.Reserve(now, urgent, 1); ok {
		t.Errorf("disconnects %v, but only the peer itself is stalled", got)
	}
}

// Guards against a second peer being disconnected while the first is still leaving. Fails
// if excess counts leaving peers.
func TestLeavingPeerCountsAsFree(t *testing.T) {
	b := NewBudget(200)
	first := stalledPeer(b, Urgency{}, 100, start)
	stalledPeer(b, Urgency{}, 100, start.Add(time.Second))
	now, other := start.Add(time.Minute), &Holder{}
	if got := b.Hold(now, other, 60); !slices.Equal(got, []*Holder{first}) {
		t.Fatalf("disconnects %v", got)
	}
	if got := b.Hold(now, other, 40); got != nil {
		t.Errorf("disconnects %v, though 40 bytes are about to be free", got)
	}
	if !b.Draining() {
		t.Error("half of the budget is held by a leaving peer, and that is not waited for")
	}
	b.Remove(first)
	if b.Draining() {
		t.Error("waits for a peer that has left")
	}
	if b.Held() != 200 || b.leaving != 0 || b.excess() != 0 {
		t.Errorf("held %d, leaving %d", b.Held(), b.leaving)
	}
}

// Replays the load pattern: a thousand stalled peers whose buffers fill the budget while
// other callers come and go. Guards against refusing these, and against disconnecting more
// peers than the budget requires.
func TestThousandStalledPeersLeaveRoomForOthers(t *testing.T) {
	const peers, connection, buffer, request = 1000, 48 << 10, 32 << 10, 100 << 10
	b := NewBudget(LimitFor(160))
	now := start
	disconnected := 0
	end := func(list []*Holder) {
		disconnected += len(list)
		for _, h := range list {
			b.Remove(h)
		}
	}
	for range peers {
		now = now.Add(10 * time.Millisecond)
		h := &Holder{}
		b.SetUrgency(h, Urgency{Route: 1})
		end(b.Hold(now, h, connection))
		b.Stall(h, now)
		if list, ok := b.Reserve(now, h, buffer); ok {
			end(list)
		}
	}
	for range 1000 {
		now = now.Add(time.Millisecond)
		h := &Holder{}
		b.SetUrgency(h, Urgency{Route: 1})
		end(b.Hold(now, h, connection))
		list, ok := b.Reserve(now, h, request)
		if !ok {
			t.Fatal("a request of a caller that reads was refused")
		}
		end(list)
		b.Remove(h)
	}
	// With buffers, 838 of them fit into the budget; two more make room for one request.
	if fit := int(LimitFor(160) / (connection + buffer)); disconnected < peers-fit || disconnected > peers-fit+2 {
		t.Errorf("%d peers disconnected, %d fit", disconnected, fit)
	}
}

// Guards against bytes that are counted twice or never given back, in any order of
// operations.
func TestSumOfHoldersIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1000)
		b.SetMaxFiles(5)
		all := map[*Holder]bool{}
		var list []*Holder
		now := start
		check := func(chosen []*Holder) {
			for _, h := range chosen {
				if !h.stalled || !all[h] {
					t.Fatal("disconnects a peer that reads or has gone")
				}
				all[h] = false
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			if len(list) == 0 || rapid.IntRange(0, 5).Draw(t, "new") == 0 {
				h := &Holder{}
				b.SetUrgency(h, Urgency{Route: 1})
				list = append(list, h)
				all[h] = true
			}
			h := rapid.SampledFrom(list).Draw(t, "peer")
			n := int64(rapid.IntRange(0, 400).Draw(t, "bytes"))
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0:
				check(b.Hold(now, h, n))
			case 1:
				chosen, ok := b.Reserve(now, h, n)
				check(chosen)
				if ok && b.excess() > 0 {
					t.Fatalf("reserved beyond the budget by %d", b.excess())
				}
			case 2:
				b.Release(h, min(n, h.Bytes()))
			case 3:
				b.Stall(h, now)
			case 4:
				b.Progress(h)
			case 5:
				b.Remove(h)
				list = slices.DeleteFunc(list, func(o *Holder) bool { return o == h })
			case 6:
				b.Idle(h, now)
			case 7:
				b.Received(now, h, int(n))
			case 8:
				chosen, ok := b.Admit(now, h, n, 1)
				check(chosen)
				if ok && (b.beyond() > 0 || b.filesExcess() > 0) {
					t.Fatalf("admitted beyond the hard limit by %d, %d", b.beyond(), b.filesExcess())
				}
			case 9:
				b.ReleaseFiles(h, min(1, h.files))
			}
			sum, leaving, files, filesLeaving := int64(0), int64(0), 0, 0
			for _, o := range list {
				files += o.files
				if o.leaving {
					filesLeaving += o.files
				}
				sum += o.bytes
				if o.leaving {
					leaving += o.bytes
				}
			}
			if b.held != sum || b.leaving != leaving {
				t.Fatalf("held %d of %d, leaving %d of %d", b.held, sum, b.leaving, leaving)
			}
			if b.files != files || b.filesLeaving != filesLeaving {
				t.Fatalf("%d descriptors of %d, leaving %d of %d", b.files, files, b.filesLeaving, filesLeaving)
			}
		}
	})
}

// BenchmarkHoldWhenExhausted measures the decision with a thousand stalled peers.
func BenchmarkHoldWhenExhausted(b *testing.B) {
	budget := NewBudget(1000 * 100)
	for i := range 1000 {
		stalledPeer(budget, Urgency{Route: 1}, 100, start.Add(time.Duration(i)*time.Millisecond))
	}
	h, now := &Holder{}, start.Add(time.Minute)
	for b.Loop() {
		for _, gone := range budget.Hold(now, h, 1) {
			budget.Remove(gone)
			stalledPeer(budget, Urgency{Route: 1}, 100, start)
		}
		budget.Release(h, 1)
	}
}
