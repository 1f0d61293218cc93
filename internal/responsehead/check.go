package responsehead

import (
	"net/http"
	"strconv"
)

// Check returns a *SyntaxError if the final head of a response that was parsed is malformed. It sees less
// than a Scanner, and is for heads whose bytes cannot be seen.
func Check(status int, h http.Header) error {
	if status < http.StatusOK {
		return &SyntaxError{Problem: "invalid status", Line: strconv.Itoa(status)}
	}
	return checkNames(h)
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
