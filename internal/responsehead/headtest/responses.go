package headtest

import "strings"

// Response is what an upstream sends. {id} stands for the id of the request.
type Response struct{ Name, Text string }

const (
	fields  = "X-Request-Id: {id}\r\nX-Server-Seal: s\r\n"
	ok      = "HTTP/1.1 200 OK\r\n" + fields
	length  = "Content-Length: 8\r\n\r\nthe body"
	chunked = "Transfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n"
	// inner is a response within the body of another one.
	inner = ok + "Content-Length: 5\r\n\r\ninner"
)

// MalformedStatus returns responses with a malformed status line.
func MalformedStatus() []Response {
	line := func(l string) string { return l + "\r\n" + fields + length }
	return []Response{
		{"status 000", line("HTTP/1.1 000 Trouble")},
		{"status 000 around a response", "HTTP/1.1 000 Trouble\r\n" + fields + "\r\n" + inner},
		{"status 000 around a response of its length", "HTTP/1.1 000 Trouble\r\n" + fields + "Content-Length: 96\r\n\r\n" + inner},
		{"status 000 after an informational one", "HTTP/1.1 103 Early Hints\r\n\r\n" + line("HTTP/1.1 000 Trouble")},
		{"status 000 without reason", line("HTTP/1.1 000")},
		{"status 099", line("HTTP/1.1 099 Trouble")},
		{"status 099 around a response", "HTTP/1.1 099 Trouble\r\n" + fields + "\r\n" + inner},
		{"status 101", line("HTTP/1.1 101 Switching Protocols")},
		{"status 101 around a response", "HTTP/1.1 101 Switching Protocols\r\n" + fields + "\r\n" + inner},
		{"status with a sign", line("HTTP/1.1 +20 OK")},
		{"status of two digits", line("HTTP/1.1 20 OK")},
		{"status of four digits", line("HTTP/1.1 2000 OK")},
		{"two blanks before the status", line("HTTP/1.1  200 OK")},
		{"control byte in the reason", line("HTTP/1.1 200 O\x01K")},
		{"HTTP/0.9", line("HTTP/0.9 200 OK")},
		{"HTTP/2.0", line("HTTP/2.0 200 OK")},
		{"HTTP/9.9", line("HTTP/9.9 200 OK")},
	}
}

// MalformedFields returns responses with a valid status line and a malformed field, or with fields
// that contradict the status line or each other.
func MalformedFields() []Response {
	line := func(l string) string { return ok + l + "\r\n" + length }
	return []Response{
		{"blank in a name", line("X Bad: 1")},
		{"blank before a name's colon", line("X-Bad : 1")},
		{"tab before a name's colon", line("X-Bad\t: 1")},
		{"control byte in a name", line("X\x01Bad: 1")},
		{"NUL in a name", line("X\x00Bad: 1")},
		{"DEL in a name", line("X\x7fBad: 1")},
		{"byte of no token in a name", line("X(Bad): 1")},
		{"obsolete text in a name", line("X\xc5\x93: 1")},
		{"no name", line(": 1")},
		{"no colon", line("X-Bad")},
		{"control byte in a value", line("X-Bad: \x01")},
		{"carriage return in a value", line("X-Bad: a\rb")},
		{"control byte in a folded line", line("X-Odd: a\r\n \x01")},
		{"folded first line", "HTTP/1.1 200 OK\r\n " + fields + length},
		{"blank before the colon of the length", ok + "Content-Length : 3\r\n\r\nthe body"},
		{"blank before the colon of the coding", ok + "Transfer-Encoding : chunked\r\n\r\n8\r\nthe body\r\n0\r\n\r\n"},
		{"blank in a name after an informational response", "HTTP/1.1 103 Early Hints\r\n\r\n" + line("X Bad: 1")},
		{"blank in a name of an informational response", "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + ok + length},
		{"length of an informational response", "HTTP/1.1 103 Early Hints\r\nContent-Length: 95\r\n\r\n" + inner},
		{"coding of an informational response", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + inner},
		{"length and chunks", ok + "Content-Length: 3\r\n" + chunked},
		{"chunks and length", ok + "Transfer-Encoding: chunked\r\n" + length},
		{"chunks of HTTP/1.0", strings.Replace(ok, "HTTP/1.1", "HTTP/1.0", 1) + chunked},
	}
}

// MalformedFraming returns responses whose fields do not tell where the body ends.
func MalformedFraming() []Response {
	return []Response{
		{"two lengths", ok + "Content-Length: 3\r\n" + length},
		{"length with a sign", ok + "Content-Length: +8\r\n\r\nthe body"},
		{"unknown coding", ok + "Transfer-Encoding: gzip\r\n\r\nthe body"},
	}
}

// MalformedTrailers returns responses whose trailer has a malformed field.
func MalformedTrailers() []Response {
	trailer := func(l string) string {
		return ok + "Transfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\n" + l + "\r\n\r\n"
	}
	return []Response{
		{"blank in a trailer's name", trailer("X Bad: 1")},
		{"blank before the colon of a trailer's name", trailer("X-Bad : 1")},
		{"control byte in a trailer's name", trailer("X\x01Bad: 1")},
		{"no colon in a trailer", trailer("X-Bad")},
		{"control byte in a trailer's value", trailer("X-Bad: \x01")},
	}
}

// Sound returns responses that are valid and differ from the usual ones. All have the body "the
// body".
func Sound() []Response {
	return []Response{
		{"no reason", "HTTP/1.1 200\r\n" + fields + length},
		{"empty reason", "HTTP/1.1 200 \r\n" + fields + length},
		{"obsolete text in the reason", "HTTP/1.1 200 \xc5\x93\r\n" + fields + length},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fields + length},
		{"HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n" + fields + "\r\nthe body"},
		{"lines without carriage returns", "HTTP/1.1 200 OK\nX-Request-Id: {id}\nX-Server-Seal: s\nContent-Length: 8\n\nthe body"},
		{"informational ones first", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + length},
		{"all bytes of a name", ok + "X!#$%&'*+-.^_`|~0aZ: 1\r\n" + length},
		{"obsolete text, tab and colon in a value", ok + "X-Odd: \xc5\x93\ta:b\r\n" + length},
		{"no value", ok + "X-Odd:\r\n" + length},
		{"folded line", ok + "X-Odd: a\r\n b\r\n" + length},
		{"chunks", ok + chunked},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n8\r\nthe body\r\n0\r\nX-Sum: 1\r\n\r\n"},
	}
}
