package responsehead

import (
	"bytes"
	"strings"
)

// parseFieldLine returns the name of a field line (RFC 9112, 5), or what is wrong with it. A proxy may
// remove blanks before the colon of a response, but they show a server in trouble.
func parseFieldLine(line []byte) (name, problem string) {
	before, value, ok := bytes.Cut(line, []byte{':'})
	name = string(before)
	switch {
	case !ok:
		return "", "no colon"
	case !validName(name):
		return "", "invalid name of a field"
	case !validValue(string(value)):
		return "", "control byte in a value"
	}
	return name, ""
}

// validName reports whether a text is a token, as names of fields are (RFC 9110, 5.6.2).
func validName(name string) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return name != ""
}

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || isDigit(c) || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
