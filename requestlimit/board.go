package requestlimit

import (
	"slices"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/serving"
)

// maxServers bounds the servers of a Board.
const maxServers = 2048

// Board holds the newest statement of each server that has named a limit.
type Board struct {
	seq     uint64
	servers map[fleet.ServerStart]entry
}

// entry is a statement that was told, with its number, and the time of the newest one.
type entry struct {
	told  Statement
	seq   uint64
	newAt time.Time
}

// Seq returns the number of the newest statement.
func (b *Board) Seq() uint64 { return b.seq }

// Put takes a statement and reports whether it is news to others. An older one than the
// newest is ignored, and so is the end of an unknown limit.
func (b *Board) Put(now time.Time, s Statement) bool {
	b.forget(now)
	e, ok := b.servers[s.Server]
	switch {
	case now.Sub(s.SaidAt) > limitTTL, ok && s.SaidAt.Before(e.newAt), !ok && !s.Limit.Named:
		return false
	case ok && !s.newsAfter(&e.told):
		e.newAt = s.SaidAt
		b.servers[s.Server] = e
		return false
	case !ok && len(b.servers) >= maxServers:
		return false
	}
	if b.servers == nil {
		b.servers = make(map[fleet.ServerStart]entry)
	}
	b.seq++
	b.servers[s.Server] = entry{told: s, seq: b.seq, newAt: s.SaidAt}
	return true
}

// Limit returns the limit of a server, which is not named if nobody has renewed it.
func (b *Board) Limit(now time.Time, server fleet.ServerStart) serving.RequestLimit {
	e, ok := b.servers[server]
	if !ok || now.Sub(e.newAt) > limitTTL {
		return serving.RequestLimit{}
	}
	return e.told.Limit
}

// Limits returns the limits in force.
func (b *Board) Limits(now time.Time) []Statement {
	return slices.DeleteFunc(b.Since(now, 0), func(s Statement) bool { return !s.Limit.Named })
}

// Since returns the statements after a number.
func (b *Board) Since(now time.Time, seq uint64) []Statement {
	b.forget(now)
	var out []Statement
	for _, e := range b.servers {
		if e.seq > seq {
			out = append(out, e.told)
		}
	}
	return out
}

// forget drops the statements that nobody has renewed.
func (b *Board) forget(now time.Time) {
	for k, e := range b.servers {
		if now.Sub(e.newAt) > limitTTL {
			delete(b.servers, k)
		}
	}
}
