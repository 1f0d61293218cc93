package responsehead

import (
	"bytes"
	"net/http"
)

// Names of the fields that say where a body ends.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// framing is what a head says of where its body ends, as far as parts of it can contradict others.
type framing struct {
	status           int
	minorVersion     byte
	hasLength, coded bool
}

// add takes the name of a field and returns what is wrong with it, or "" (RFC 9112, 6.1 and 6.3). The
// parser of net/http takes one of the contradicting parts and ignores the other.
func (f *framing) add(name []byte) string {
	length, coding := bytes.EqualFold(name, contentLength), bytes.EqualFold(name, transferEncoding)
	f.hasLength, f.coded = f.hasLength || length, f.coded || coding
	switch {
	case !length && !coding:
		return ""
	case f.status < http.StatusOK:
		return "body of an informational response"
	case coding && f.minorVersion == '0':
		return "transfer coding of HTTP/1.0"
	case f.hasLength && f.coded:
		return "length and transfer coding"
	}
	return ""
}
