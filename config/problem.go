package config

import "fmt"

// Problem is one validation error of a document or of settings.
type Problem struct {
	Code ProblemCode `json:"code"`
	// Path is the path of the field, for example "models[3].memory_mb".
	Path string `json:"path"`
	// Line and Column start at one; Column counts bytes. Both are zero if the
	// value was not decoded from text.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Detail string `json:"detail"`
}

// Error implements error.
func (p *Problem) Error() string {
	location := p.Path
	if p.Line > 0 {
		location = fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Path)
	}
	return fmt.Sprintf("%s: %s", location, p.Detail)
}
