package requestlimit

import (
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/serving"
	"github.com/laureltally/laureltally/wire"
)

// Encode returns the message that tells statements.
func Encode(now time.Time, statements []Statement) *wire.ServerLimits {
	m := &wire.ServerLimits{Servers: make([]wire.ServerLimit, len(statements))}
	for i, s := range statements {
		m.Servers[i] = wire.ServerLimit{
			Address: s.Server.Address, Started: s.Server.Started, Named: s.Limit.Named, PerSecond: s.Limit.PerSecond, Age: now.Sub(s.SaidAt),
		}
	}
	return m
}

// Decode returns the statements that a message tells, up to maxServers.
func Decode(now time.Time, m *wire.ServerLimits) []Statement {
	told := m.Servers[:min(len(m.Servers), maxServers)]
	statements := make([]Statement, len(told))
	for i, s := range told {
		statements[i] = Statement{
			Server: fleet.ServerStart{Address: s.Address, Started: s.Started}, Limit: serving.RequestLimit{Named: s.Named, PerSecond: max(0, s.PerSecond)}, SaidAt: now.Add(-s.Age),
		}
	}
	return statements
}
