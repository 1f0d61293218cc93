package admission

import "github.com/laureltally/laureltally/ident"

// Admit starts a request. It holds a place until Queue.Finish or Queue.Cancel.
type Admit struct {
	ID ident.Attempt
}

func (Admit) action() {}
