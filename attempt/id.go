package attempt

import (
	"strconv"
	"strings"

	"github.com/laureltally/laureltally/ident"
)

// ID holds the parts of an attempt's name.
type ID struct {
	// Router and Incarnation identify the process that created the attempt.
	Router      ident.VM
	Incarnation ident.Incarnation
	// Claimed attempts have their own number sequence.
	Claimed bool
	// Seq increases by one per attempt of a sequence, starting at one.
	Seq uint64
}

const (
	separator      = "/"
	claimedPrefix  = "k"
	plainPrefix    = "p"
	hexBase        = 16
	decimalBase    = 10
	integerBits    = 64
	trailingFields = 2
)

// Attempt returns the name: the router, the incarnation in hexadecimal, and the
// prefix of the sequence with the number, such as vm1/abc/p3.
func (id ID) Attempt() ident.Attempt {
	prefix := plainPrefix
	if id.Claimed {
		prefix = claimedPrefix
	}
	return ident.Attempt(string(id.Router) +
		separator + strconv.FormatUint(uint64(id.Incarnation), hexBase) +
		separator + prefix + strconv.FormatUint(id.Seq, decimalBase))
}

// Parse splits a name into its parts. A name that no NameGenerator generates
// gives a *NameError.
func Parse(name ident.Attempt) (ID, error) {
	parts := strings.Split(string(name), separator)
	if len(parts) <= trailingFields {
		return ID{}, &NameError{Name: name}
	}
	n := len(parts) - trailingFields
	incarnation, err := strconv.ParseUint(parts[n], hexBase, integerBits)
	if err != nil {
		return ID{}, &NameError{Name: name}
	}
	last := parts[n+1]
	claimed := strings.HasPrefix(last, claimedPrefix)
	if !claimed && !strings.HasPrefix(last, plainPrefix) {
		return ID{}, &NameError{Name: name}
	}
	seq, err := strconv.ParseUint(last[len(plainPrefix):], decimalBase, integerBits)
	if err != nil {
		return ID{}, &NameError{Name: name}
	}
	id := ID{
		Router:      ident.VM(strings.Join(parts[:n], separator)),
		Incarnation: ident.Incarnation(incarnation),
		Claimed:     claimed,
		Seq:         seq,
	}
	if id.Seq == 0 || id.Attempt() != name {
		return ID{}, &NameError{Name: name}
	}
	return id, nil
}
