package responsehead

import (
	"bytes"
	"strings"
)

// parseFieldLine returns the name of a field line (RFC 9112, 5), or what is wrong with it. A proxy may
// remove blanks before the colon of a response, but they show a server in trouble.
func parseFieldLine(line []byte) (name []byte, problem string) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	switch {
	case !ok:
		return nil, "no colon"
	case !validName(name):
		return nil, "invalid name of a field"
	case !validValue(value):
		return nil, "control byte in a value"
	}
	return name, ""
}

// validName reports whether a text is a token, as names of fields are (RFC 9110, 5.6.2).
func validName[T string | []byte](name T) bool {
	for i := range len(name) {
		if !isTokenByte(name[i]) {
			return false
		}
	}
	return len(name) > 0
}

// validValue reports whether a text may be a field's value or a reason: it has no control bytes but
// tabs.
func validValue[T string | []byte](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isTokenByte(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || isDigit(c) || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
