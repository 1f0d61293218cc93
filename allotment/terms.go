package allotment

import "github.com/laureltally/laureltally/serving"

const (
	// totalDebt bounds what all banks of a tenant may lend in excess of their balances, in
	// tokens. It is less than the platform's slack of 11,000, which also covers routers
	// that start to use a bank at different times.
	totalDebt = 10_000
	// spareDebts is the number of banks that may be restarted within a window and forget
	// what they were owed, without the sum exceeding totalDebt.
	spareDebts = 1
	// pieceShare is the part of a bank's burst that is requested at once for a request
	// that costs more than the bank may lend in excess.
	pieceShare = 0.5
)

// Terms is an allotment as a router knows it.
type Terms struct {
	// PerSecond and Burst are those of the whole allotment.
	PerSecond, Burst float64
	// Banks is the number of banks that share it.
	Banks int
	// Version is the version of the configuration that the rate and the burst are from.
	Version Version
}

// Version identifies a version of the configuration.
type Version struct {
	Revision, Restores, Number uint64
}

// VersionOf returns the version of a configuration.
func VersionOf(c *serving.Config) Version {
	return Version{Revision: c.Revision, Restores: c.Restores, Number: c.Number}
}

// supersedes reports whether v is newer, by the rule for configurations.
func (v Version) supersedes(old Version) bool {
	return (&serving.Config{Revision: v.Revision, Restores: v.Restores, Number: v.Number}).
		Supersedes(&serving.Config{Revision: old.Revision, Restores: old.Restores, Number: old.Number})
}

// perSecond and burst return the share of one bank.
func (t *Terms) perSecond() float64 { return t.PerSecond / float64(max(1, t.Banks)) }
func (t *Terms) burst() float64     { return t.Burst / float64(max(1, t.Banks)) }

// maxDebt returns what one bank may lend in excess of its balance.
func (t *Terms) maxDebt() float64 { return totalDebt / float64(max(1, t.Banks)+spareDebts) }

// maxPiece returns the largest amount that a bank can be expected to lend at once. Requests
// that cost more are paid for by loans of several banks.
func (t *Terms) maxPiece() float64 { return max(t.maxDebt(), pieceShare*t.burst()) }
