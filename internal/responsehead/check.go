package responsehead

import "net/http"

// Check returns a *SyntaxError if the head of a response that was parsed is malformed. It sees less than
// a Scanner, and is for connections whose bytes are encrypted.
func Check(r *http.Response) error {
	if r.StatusCode < http.StatusOK {
		return &SyntaxError{Problem: "invalid status", Line: r.Status}
	}
	return checkNames(r.Header)
}

// CheckTrailer returns a *SyntaxError if the trailer of a response, whose body has been read to its end,
// is malformed.
func CheckTrailer(r *http.Response) error { return checkNames(r.Trailer) }

// checkNames checks what the parser of net/http does not: it passes names with blanks on.
func checkNames(h http.Header) error {
	for name := range h {
		if !validName(name) {
			return &SyntaxError{Problem: "invalid name of a field", Line: name}
		}
	}
	return nil
}
