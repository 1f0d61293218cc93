package gossip

import (
	"cmp"
	"container/list"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// View is what a router tells other routers: a pure state machine, which its
// driver guards with a lock.
//
// Invariant: each record is a state that the process has reported. It holds
// because a delta is only laid over a state that its sender has held too, later
// than the state it counts from: what differs between the two has changed in the
// sender's log since, and so is in the delta. If the record is any other state,
// for instance one that the sender skipped, or none because the process changed
// again while a reply was read in pages, the whole report is asked for.
type View struct {
	opts     Options
	position uint64
	records  map[ident.VM]*record
	// order holds the records by their newest change, oldest first.
	order   *list.List
	cursors map[ident.VM]cursor
	// wants holds the processes to ask each peer for.
	wants map[ident.VM]map[ident.VM]struct{}
}

// New returns an empty view.
func New(o Options) *View {
	if o.MaxReplyBytes == 0 {
		o.MaxReplyBytes = DefaultMaxReplyBytes
	}
	return &View{
		opts: o, records: make(map[ident.VM]*record), order: list.New(),
		cursors: make(map[ident.VM]cursor), wants: make(map[ident.VM]map[ident.VM]struct{}),
	}
}

// Update takes a full report from the process itself. It returns true if the
// report is worth telling, in which case waiting peers are to be answered.
func (v *View) Update(r wire.Report) bool {
	rec, ok := v.records[r.VM]
	if ok && !newer(rec.report, r) {
		return false
	}
	models := told(r.Models)
	if ok && rec.report.Incarnation == r.Incarnation && !rec.worth(r, models, v.opts.LoadClasses) {
		rec.untold = &r
		return false
	}
	v.store(r, models)
	return true
}

// Remove forgets a process that has left the membership.
func (v *View) Remove(id ident.VM) {
	if r, ok := v.records[id]; ok {
		v.order.Remove(r.place)
		delete(v.records, id)
	}
}

// Forget drops the cursor of a peer that is no longer asked.
func (v *View) Forget(peer ident.VM) {
	delete(v.cursors, peer)
	delete(v.wants, peer)
}

// Request returns what to ask of a peer.
func (v *View) Request(peer ident.VM) wire.GossipRequest {
	if c, ok := v.cursors[peer]; ok {
		return wire.GossipRequest{LogIncarnation: c.log, Position: c.position, Want: slices.Sorted(maps.Keys(v.wants[peer]))}
	}
	req := wire.GossipRequest{Have: make([]wire.GossipEntry, 0, len(v.records))}
	for id, r := range v.records {
		req.Have = append(req.Have, wire.GossipEntry{VM: id, Incarnation: r.report.Incarnation, Seq: r.report.Seq})
	}
	slices.SortFunc(req.Have, func(a, b wire.GossipEntry) int { return cmp.Compare(a.VM, b.VM) })
	return req
}

// Reply answers a peer's request. A reply without reports says nothing new; a
// driver may hold the request until Learn or Apply brought some.
func (v *View) Reply(req wire.GossipRequest) wire.GossipReply {
	switch req.LogIncarnation {
	case v.opts.Log:
		reply := v.page(req.Position, func(r *record) (wire.Report, bool) { return r.since(req.Position), true })
		return v.whole(reply, req.Want)
	case 0:
		have := make(map[ident.VM]wire.GossipEntry, len(req.Have))
		for _, e := range req.Have {
			have[e.VM] = e
		}
		return v.page(0, func(r *record) (wire.Report, bool) {
			e, ok := have[r.report.VM]
			return r.whole(), !ok || e.Incarnation != r.report.Incarnation || e.Seq < r.report.Seq
		})
	default:
		return wire.GossipReply{LogIncarnation: v.opts.Log}
	}
}

// whole adds the whole reports that a peer wants.
func (v *View) whole(reply wire.GossipReply, want []ident.VM) wire.GossipReply {
	for _, id := range want {
		if r, ok := v.records[id]; ok {
			reply.Reports = append(reply.Reports, r.whole())
		}
	}
	return reply
}

// page returns what take makes of the records that changed after a position, in
// the order of the log, until the reply is full.
func (v *View) page(after uint64, take func(*record) (wire.Report, bool)) wire.GossipReply {
	reply := wire.GossipReply{LogIncarnation: v.opts.Log, Position: v.position}
	size := 0
	for _, r := range v.changedAfter(after) {
		report, ok := take(r)
		if !ok {
			continue
		}
		n := encodedBytes(report)
		if size > 0 && size+n > v.opts.MaxReplyBytes {
			reply.More, reply.Position = true, r.last-1
			return reply
		}
		size += n
		reply.Reports = append(reply.Reports, report)
	}
	return reply
}

// changedAfter returns the records that changed after a position, oldest change
// first.
func (v *View) changedAfter(position uint64) []*record {
	var out []*record
	for e := v.order.Back(); e != nil && e.Value.(*record).last > position; e = e.Prev() {
		out = append(out, e.Value.(*record))
	}
	slices.Reverse(out)
	return out
}

// Apply takes a peer's reply to a request that this view made, and returns the
// full reports that are news. A reply to another request than the last is
// dropped, since the cursor has moved on.
func (v *View) Apply(peer ident.VM, req wire.GossipRequest, reply wire.GossipReply) []wire.Report {
	c := v.cursors[peer]
	if c.log != req.LogIncarnation || c.position != req.Position {
		return nil
	}
	if req.LogIncarnation != 0 && req.LogIncarnation != reply.LogIncarnation {
		delete(v.cursors, peer)
		return nil
	}
	for _, id := range req.Want {
		delete(v.wants[peer], id)
	}
	var news []wire.Report
	for _, r := range reply.Reports {
		full, fit := v.complete(r)
		if fit == fitLacking {
			v.want(peer, r.VM)
		}
		if fit == fitNews {
			v.store(full, told(full.Models))
			news = append(news, full)
		}
	}
	v.cursors[peer] = cursor{log: reply.LogIncarnation, position: reply.Position}
	return news
}

// complete makes a full report of one in a reply.
func (v *View) complete(r wire.Report) (wire.Report, fit) {
	rec, ok := v.records[r.VM]
	same := ok && rec.report.Incarnation == r.Incarnation
	switch {
	case same && r.Seq <= rec.report.Seq:
		return r, fitStale
	case same && rec.untold != nil && r.Seq <= rec.untold.Seq:
		// Others tell of a state between the one told from here and the one
		// that was not worth telling then. Now it is.
		return *rec.untold, fitNews
	case len(r.BaseSeqs) > 0 && !(same && slices.Contains(r.BaseSeqs, rec.report.Seq)):
		return r, fitLacking
	case len(r.BaseSeqs) > 0:
		return rec.merge(r), fitNews
	case ok && !newer(rec.report, r):
		return r, fitStale
	default:
		return r, fitNews
	}
}

func (v *View) want(peer, id ident.VM) {
	if v.wants[peer] == nil {
		v.wants[peer] = make(map[ident.VM]struct{})
	}
	v.wants[peer][id] = struct{}{}
}

func (v *View) store(r wire.Report, models map[ident.Model]wire.ModelReport) {
	rec, ok := v.records[r.VM]
	if !ok {
		rec = newRecord()
		v.records[r.VM] = rec
		rec.place = v.order.PushBack(rec)
	}
	v.position++
	rec.store(r, models, v.position)
	v.order.MoveToBack(rec.place)
}

// newer tells whether a report supersedes one of the same process.
func newer(was, r wire.Report) bool {
	if was.Incarnation == r.Incarnation {
		return r.Seq > was.Seq
	}
	return r.Started > was.Started
}

// encodedBytes is the size of a report in a reply. A report that cannot be
// encoded counts nothing here and fails when it is sent.
func encodedBytes(r wire.Report) int {
	b, err := cbor.Marshal(r)
	if err != nil {
		return 0
	}
	return len(b)
}
