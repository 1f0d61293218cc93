package allotment

import (
	"time"

	"github.com/laureltally/laureltally/ident"
)

// Claim asks for the cost of one request of a caller.
type Claim struct {
	Tenant ident.Tenant
	Terms  Terms
	Cost   float64
	// Banks are the banks that may be asked, chosen by the list of VMs read at ListedAt.
	Banks    []BankLink
	ListedAt time.Time
}

// BankLink is a bank as a router sees it.
type BankLink struct {
	Address string
	// Near is set if the bank is in the router's region.
	Near bool
	// Connected is set if there is a connection to it.
	Connected bool
}
