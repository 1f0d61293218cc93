package responsehead

import (
	"net/http"
	"strconv"
	"strings"
)

// version is what the version of HTTP begins with; its last digit follows.
const version = "HTTP/1."

// parseStatusLine returns what a status line says (RFC 9112, 4), or what is wrong with it. The
// blank before an empty reason may be missing. No request asks for another protocol, so that 101 is
// not valid. Statuses of 600 and more are failures to callers (RFC 9110, 15).
func parseStatusLine(line []byte) (f framing, problem string) {
	rest, ok := strings.CutPrefix(string(line), version)
	if !ok || len(rest) < len("1 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return framing{}, "no status line of HTTP/1"
	}
	code, reason := rest[2:5], rest[5:]
	if !isDigit(code[0]) || !isDigit(code[1]) || !isDigit(code[2]) || reason != "" && reason[0] != ' ' {
		return framing{}, "status is no number of three digits"
	}
	status, err := strconv.Atoi(code)
	switch {
	case err != nil || status < http.StatusContinue || status == http.StatusSwitchingProtocols:
		return framing{}, "invalid status"
	case !validValue(reason):
		return framing{}, "control byte in the reason"
	}
	return framing{status: status, minorVersion: rest[0]}, ""
}
