package engine

import "fmt"

// Problem is the response body for a refused order, and the error that a client
// returns for it. A refused order has not run.
type Problem struct {
	Code   ProblemCode `json:"code"`
	Detail string      `json:"detail,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("engine refused order: %s: %s", p.Code, p.Detail)
}
