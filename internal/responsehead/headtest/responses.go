package headtest

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
