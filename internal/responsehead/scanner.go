package responsehead

import (
	"bytes"
	"net/http"
)

// Scanner checks the bytes of a head as they arrive. It does no I/O; the zero value expects no head.
// What it holds of a line is bounded by whoever bounds the head.
type Scanner struct {
	// expected is set until the head has ended.
	expected bool
	// line is the begin of a line that has not arrived whole.
	line []byte
	// framing is that of the current head; its status is zero before the first line.
	framing framing
	// fields is the number of field lines of the current head.
	fields int
	err    error
}

// Begin starts a head: the following bytes belong to it.
func (s *Scanner) Begin() { *s = Scanner{expected: true} }

// Add checks bytes that have arrived, of which those after the head are not looked at. It fails with a
// *SyntaxError, also at all later calls, if they show that the head is malformed.
func (s *Scanner) Add(b []byte) error {
	for s.expected && s.err == nil {
		text, rest, whole := bytes.Cut(b, []byte{'\n'})
		if !whole {
			s.line = append(s.line, b...)
			return nil
		}
		if len(s.line) > 0 {
			text = append(s.line, text...)
			s.line = nil
		}
		s.endLine(bytes.TrimSuffix(text, []byte{'\r'}))
		b = rest
	}
	return s.err
}

// Err returns the error of the last Add.
func (s *Scanner) Err() error { return s.err }

// endLine checks a whole line.
func (s *Scanner) endLine(line []byte) {
	problem := ""
	switch {
	case s.framing.status == 0:
		s.framing, problem = parseStatusLine(line)
	case len(line) > 0:
		problem = s.addField(line)
	case s.framing.status < http.StatusOK:
		s.Begin()
	default:
		s.expected = false
	}
	if problem != "" {
		s.err = &SyntaxError{Problem: problem, Line: string(line)}
	}
}

// addField checks a field line, or the continuation of one, and returns what is wrong with it, or "".
func (s *Scanner) addField(line []byte) string {
	folded := line[0] == ' ' || line[0] == '\t'
	if folded && s.fields > 0 {
		if !validValue(line) {
			return "control byte in a value"
		}
		return ""
	}
	s.fields++
	name, problem := parseFieldLine(line)
	if problem != "" {
		return problem
	}
	return s.framing.add(name)
}
