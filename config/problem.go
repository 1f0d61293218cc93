package config

import "fmt"

// Problem is one fault of a document or of settings.
type Problem struct {
	Code ProblemCode `json:"code"`
	// Path is that of the field, for example "models[3].memory_mb".
	Path string `json:"path"`
	// Line and Column start at one and count bytes. They are zero if the value
	// was not read from text.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Detail string `json:"detail"`
}

// Error implements error.
func (p *Problem) Error() string {
	where := p.Path
	if p.Line > 0 {
		where = fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Path)
	}
	return fmt.Sprintf("%s: %s", where, p.Detail)
}
