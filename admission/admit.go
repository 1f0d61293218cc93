package admission

import "github.com/laureltally/laureltally/ident"

// Admit starts a request, which holds a reservation until Queue.Finish or
// Queue.Cancel.
type Admit struct {
	ID ident.Attempt
}

func (Admit) action() {}
