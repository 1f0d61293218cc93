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

// View is a router's view of all processes, which it shares with other routers.
// It is a pure state machine; its caller guards it with a lock.
//
// Invariant: each record is a state that the process has reported. A delta is
// only applied to a state that its sender has held too, at or after the state
// on which the delta is based: what differs between the two has changed in the
// sender's log since, and so is in the delta. If the record is in another
// state, for example one that the sender skipped, or if there is none because
// the process changed again while a reply was read in pages, the full report is
// requested.
type View struct {
	opts     Options
	position uint64
	records  map[ident.VM]*record
	// order holds the records by their latest change, oldest first.
	order   *list.List
	cursors map[ident.VM]cursor
	// fullWanted holds, by peer, the processes whose full reports to request.
	fullWanted map[ident.VM]map[ident.VM]struct{}
}

// New returns an empty view.
func New(o Options) *View {
	if o.MaxReplyBytes == 0 {
		o.MaxReplyBytes = DefaultMaxReplyBytes
	}
	return &View{
		opts: o, records: make(map[ident.VM]*record), order: list.New(),
		cursors: make(map[ident.VM]cursor), fullWanted: make(map[ident.VM]map[ident.VM]struct{}),
	}
}

// Update stores a full report received from the process itself. It returns true
// if the report is published, in which case held requests of peers are due for
// a reply.
func (v *View) Update(r wire.Report) bool {
	rec, ok := v.records[r.VM]
	if ok && !newer(rec.report, r) {
		return false
	}
	models := publishedModels(r.Models)
	if ok && rec.report.Incarnation == r.Incarnation && !rec.worthPublishing(r, models, v.opts.LoadClasses) {
		rec.unpublished = &r
		return false
	}
	v.store(r, models)
	return true
}

// Remove deletes a process that has left the membership.
func (v *View) Remove(id ident.VM) {
	if r, ok := v.records[id]; ok {
		v.order.Remove(r.element)
		delete(v.records, id)
	}
}

// RemovePeer deletes the cursor of a peer that is no longer polled.
func (v *View) RemovePeer(peer ident.VM) {
	delete(v.cursors, peer)
	delete(v.fullWanted, peer)
}

// Request returns the next request to a peer.
func (v *View) Request(peer ident.VM) wire.GossipRequest {
	if c, ok := v.cursors[peer]; ok {
		return wire.GossipRequest{LogIncarnation: c.log, Position: c.position, Want: slices.Sorted(maps.Keys(v.fullWanted[peer]))}
	}
	req := wire.GossipRequest{Have: make([]wire.GossipEntry, 0, len(v.records))}
	for id, r := range v.records {
		req.Have = append(req.Have, wire.GossipEntry{VM: id, Incarnation: r.report.Incarnation, Seq: r.report.Seq})
	}
	slices.SortFunc(req.Have, func(a, b wire.GossipEntry) int { return cmp.Compare(a.VM, b.VM) })
	return req
}

// Reply returns the reply to a peer's request. If it has no reports, the caller
// may hold the request until Update or Apply adds some.
func (v *View) Reply(req wire.GossipRequest) wire.GossipReply {
	switch req.LogIncarnation {
	case v.opts.Log:
		reply := v.page(req.Position, func(r *record) (wire.Report, bool) { return r.deltaSince(req.Position), true })
		return v.full(reply, req.Want)
	case 0:
		have := make(map[ident.VM]wire.GossipEntry, len(req.Have))
		for _, e := range req.Have {
			have[e.VM] = e
		}
		return v.page(0, func(r *record) (wire.Report, bool) {
			e, ok := have[r.report.VM]
			return r.full(), !ok || e.Incarnation != r.report.Incarnation || e.Seq < r.report.Seq
		})
	default:
		return wire.GossipReply{LogIncarnation: v.opts.Log}
	}
}

// full returns reply with the full reports that a peer requested appended.
func (v *View) full(reply wire.GossipReply, want []ident.VM) wire.GossipReply {
	for _, id := range want {
		if r, ok := v.records[id]; ok {
			reply.Reports = append(reply.Reports, r.full())
		}
	}
	return reply
}

// page returns the reports that makeReport returns for the records changed
// after a position, in log order, up to Options.MaxReplyBytes.
func (v *View) page(after uint64, makeReport func(*record) (wire.Report, bool)) wire.GossipReply {
	reply := wire.GossipReply{LogIncarnation: v.opts.Log, Position: v.position}
	size := 0
	for _, r := range v.changedAfter(after) {
		report, ok := makeReport(r)
		if !ok {
			continue
		}
		n := encodedBytes(report)
		if size > 0 && size+n > v.opts.MaxReplyBytes {
			reply.More, reply.Position = true, r.lastChange-1
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
	for e := v.order.Back(); e != nil && e.Value.(*record).lastChange > position; e = e.Prev() {
		out = append(out, e.Value.(*record))
	}
	slices.Reverse(out)
	return out
}

// Apply stores a peer's reply to a request of this view and returns the full
// reports that replaced a record. A reply to any but the latest request is
// dropped, since the cursor has advanced.
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
		delete(v.fullWanted[peer], id)
	}
	var applied []wire.Report
	for _, r := range reply.Reports {
		full, relation := v.expand(r)
		if relation == relationBaseMissing {
			v.requestFull(peer, r.VM)
		}
		if relation == relationNewer {
			v.store(full, publishedModels(full.Models))
			applied = append(applied, full)
		}
	}
	v.cursors[peer] = cursor{log: reply.LogIncarnation, position: reply.Position}
	return applied
}

// expand returns the full report for a report in a reply.
func (v *View) expand(r wire.Report) (wire.Report, relation) {
	rec, ok := v.records[r.VM]
	sameIncarnation := ok && rec.report.Incarnation == r.Incarnation
	switch {
	case sameIncarnation && r.Seq <= rec.report.Seq:
		return r, relationStale
	case sameIncarnation && rec.unpublished != nil && r.Seq <= rec.unpublished.Seq:
		// Other routers publish a state newer than the record and at most as new as the
		// unpublished one, so the latter is published now.
		return *rec.unpublished, relationNewer
	case len(r.BaseSeqs) > 0 && !(sameIncarnation && slices.Contains(r.BaseSeqs, rec.report.Seq)):
		return r, relationBaseMissing
	case len(r.BaseSeqs) > 0:
		return rec.merge(r), relationNewer
	case ok && !newer(rec.report, r):
		return r, relationStale
	default:
		return r, relationNewer
	}
}

func (v *View) requestFull(peer, id ident.VM) {
	if v.fullWanted[peer] == nil {
		v.fullWanted[peer] = make(map[ident.VM]struct{})
	}
	v.fullWanted[peer][id] = struct{}{}
}

func (v *View) store(r wire.Report, models map[ident.Model]wire.ModelReport) {
	rec, ok := v.records[r.VM]
	if !ok {
		rec = newRecord()
		v.records[r.VM] = rec
		rec.element = v.order.PushBack(rec)
	}
	v.position++
	rec.store(r, models, v.position)
	v.order.MoveToBack(rec.element)
}

// newer reports whether r replaces was, a report of the same process.
func newer(was, r wire.Report) bool {
	if was.Incarnation == r.Incarnation {
		return r.Seq > was.Seq
	}
	return r.Started > was.Started
}

// encodedBytes returns the encoded size of a report, in bytes. A report that
// cannot be encoded counts as zero and fails when it is sent.
func encodedBytes(r wire.Report) int {
	b, err := cbor.Marshal(r)
	if err != nil {
		return 0
	}
	return len(b)
}
