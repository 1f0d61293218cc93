package responsehead_test

import (
	"errors"
	"slices"
	"testing"

	"github.com/laureltally/laureltally/internal/responsehead"
	"github.com/laureltally/laureltally/internal/responsehead/headtest"
)

// scan adds a text in two parts to a Scanner.
func scan(text string, cut int) error {
	var s responsehead.Scanner
	s.Begin()
	if err := s.Add([]byte(text[:cut])); err != nil {
		return err
	}
	return s.Add([]byte(text[cut:]))
}

// Guards against a malformed head that is taken for a valid one, and against a valid one that is refused
// or whose body is taken for a part of it, wherever the bytes are divided.
func TestScanner(t *testing.T) {
	for _, r := range slices.Concat(headtest.MalformedStatus(), headtest.MalformedFields()) {
		for cut := range r.Text {
			var syntax *responsehead.SyntaxError
			if err := scan(r.Text, cut); !errors.As(err, &syntax) {
				t.Errorf("%s, divided after %d bytes: error %v", r.Name, cut, err)
				break
			}
		}
	}
	for _, r := range headtest.Sound() {
		for cut := range r.Text {
			if err := scan(r.Text+"\nno head : \x00\n", cut); err != nil {
				t.Errorf("%s, divided after %d bytes: error %v", r.Name, cut, err)
				break
			}
		}
	}
}

// Guards against a Scanner that takes bytes after a malformed line, and one that checks bytes while no
// head is expected.
func TestScannerStaysFailed(t *testing.T) {
	var s responsehead.Scanner
	if err := s.Add([]byte("\n\n\n")); err != nil {
		t.Errorf("no head expected: error %v", err)
	}
	s.Begin()
	first := s.Add([]byte("HTTP/1.1 000 Trouble\r\n"))
	if err := s.Add([]byte("HTTP/1.1 200 OK\r\n\r\n")); err == nil || !errors.Is(err, first) {
		t.Errorf("errors %v, %v", first, err)
	}
}
