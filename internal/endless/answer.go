package endless

import (
	"fmt"
	"strings"
)

// Answer is what a server sends: a beginning, and then a text again and again.
type Answer struct{ Name, Begin, Repeat string }

// fieldsBytes is the size of a text of fields whose names all differ.
const fieldsBytes = 64 << 10

// Heads returns answers whose head does not end.
func Heads() []Answer {
	const status = "HTTP/1.1 200 OK\r\n"
	return []Answer{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"no HTTP", "", "\x00\xff garbage "},
		{"empty lines", "", "\r\n"},
		{"equal fields", status, "X:\r\n"},
		{"short fields", status, fields()},
		{"one field", status + "X: ", "a"},
		{"continued field", status + "X: a\r\n", " a\r\n"},
		{"informational", "", "HTTP/1.1 102 Processing\r\n\r\n"},
		{"informational with fields", "", "HTTP/1.1 103 Early Hints\r\nA:\r\nB:\r\nC:\r\n\r\n"},
	}
}

// Bodies returns answers with a sound head whose body does not end.
func Bodies() []Answer {
	const (
		head    = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	)
	return []Answer{
		{"no length", head + "\r\n", "a"},
		{"length", head + "Content-Length: 999999999999\r\n\r\n", "a"},
		{"one chunk", chunked + "ffffffffff\r\n", "a"},
		{"chunks", chunked, "400\r\n" + strings.Repeat("a", 1<<10) + "\r\n"},
		{"chunks of a byte", chunked, "1\r\na\r\n"},
		{"chunk extension", chunked + "1;", "a"},
		{"chunk extensions", chunked, "1;" + strings.Repeat("e", 1<<10) + "\r\na\r\n"},
		{"trailer", chunked + "1\r\na\r\n0\r\nX: ", "a"},
		{"trailers", chunked + "1\r\na\r\n0\r\n", fields()},
	}
}

// fields returns the shortest fields whose names all differ.
func fields() string {
	var b strings.Builder
	for i := 0; b.Len() < fieldsBytes; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}
