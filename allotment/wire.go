package allotment

import (
	"math"

	"github.com/laureltally/laureltally/wire"
)

// maxBanks bounds the number of banks that a router can state: it has at most some in each
// region.
const maxBanks = 1024

// EncodeRequest returns the message for a request.
func EncodeRequest(r *Request) *wire.AllotmentRequest {
	t := &r.Terms
	return &wire.AllotmentRequest{
		Tenant: r.Tenant, PerSecond: t.PerSecond, Burst: t.Burst, Banks: t.Banks,
		Revision: t.Version.Revision, Restores: t.Version.Restores, Number: t.Version.Number,
		Amount: r.Amount, Least: r.Least, Ahead: r.Ahead, Refused: r.Refused, ListAge: r.ListAge, Closed: r.Closed,
	}
}

// DecodeRequest returns the request of a message. Figures that are not finite or below zero
// count as zero.
func DecodeRequest(m *wire.AllotmentRequest) Request {
	return Request{
		Tenant: m.Tenant,
		Terms: Terms{
			PerSecond: amount(m.PerSecond), Burst: amount(m.Burst), Banks: min(max(1, m.Banks), maxBanks),
			Version: Version{Revision: m.Revision, Restores: m.Restores, Number: m.Number},
		},
		Amount: amount(m.Amount), Least: min(amount(m.Least), amount(m.Amount)), Ahead: amount(m.Ahead), Refused: amount(m.Refused),
		ListAge: max(0, m.ListAge), Closed: m.Closed,
	}
}

// EncodeLoan returns the message for a loan.
func EncodeLoan(l Loan) *wire.AllotmentLoan {
	return &wire.AllotmentLoan{Amount: l.Amount, Refused: l.Refused, EmptyFor: l.EmptyFor, Wait: l.Wait}
}

// DecodeLoan returns the loan of a message.
func DecodeLoan(m *wire.AllotmentLoan) Loan {
	return Loan{Amount: amount(m.Amount), Refused: m.Refused, EmptyFor: max(0, m.EmptyFor), Wait: max(0, m.Wait)}
}

func amount(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) || f < 0 {
		return 0
	}
	return f
}
