package crowd

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// request returns the beginning of a request up to the fields that follow.
func request(method, requestHost, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + requestHost + "\r\nX-Request-Id: crowd\r\n"
}

// fieldBytes is what a field of a header counts beside its name and its value.
const fieldBytes = len(": \r\n")

// shortFields returns fields without values of n bytes in total, each with a name of its own.
func shortFields(n int) string {
	var b strings.Builder
	for i := int64(0); ; i++ {
		name := "z" + strconv.FormatInt(i, 36)
		if n -= len(name) + fieldBytes; n < 0 {
			return b.String()
		}
		b.WriteString(name + ":\r\n")
	}
}

// repeatedFields returns fields without values of n bytes in total, all with the same name.
func repeatedFields(n int) string { return strings.Repeat("a:\r\n", n/(1+fieldBytes)) }

// headRoom is what a header takes beside the short fields of a test.
const headRoom = 300

// shortOfBody ends a header and states a body that never comes whole: it lacks one byte.
const shortOfBody = "Content-Length: 2\r\n\r\nx"

// write sends a text in one piece.
func write(c net.Conn, text string) bool {
	_, err := c.Write([]byte(text))
	return err == nil
}

// writePieces sends a text in pieces of n bytes, with a pause after each.
func writePieces(c net.Conn, text string, n int, pause time.Duration) bool {
	for len(text) > 0 {
		m := min(n, len(text))
		if !write(c, text[:m]) {
			return false
		}
		text = text[m:]
		time.Sleep(pause)
	}
	return true
}

// bodyShortOfEnd sends a body of n bytes, stated, without its last byte: in one piece, or in
// small ones.
func bodyShortOfEnd(c net.Conn, head, body string, pieces bool) {
	if !write(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))) {
		return
	}
	if pieces {
		writePieces(c, body[1:], len(body)/50, time.Millisecond)
		return
	}
	write(c, body[1:])
}

// chunksWithoutEnd sends chunks in one piece, and never the last.
func chunksWithoutEnd(c net.Conn, head, chunks string) {
	write(c, head+"Transfer-Encoding: chunked\r\n\r\n"+chunks)
}

// tinyChunks returns n chunks of one byte.
func tinyChunks(n int) string { return strings.Repeat("1\r\nx\r\n", n) }

const (
	// headerPiece and bodyPiece are the sizes of the pieces of what has no end, in bytes, and
	// endlessPause is the time between two.
	headerPiece  = 4 << 10
	bodyPiece    = 256 << 10
	endlessPause = 50 * time.Millisecond
)

// endless sends a text again and again, in pieces of n bytes at most, until the connection
// fails.
func endless(c net.Conn, text string, n int) {
	piece := []byte(strings.Repeat(text, n/len(text)))
	for {
		if _, err := c.Write(piece); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}

// overLimit sends a body far over the limit: half of the clients state its length.
func overLimit(c net.Conn, head string, n int) {
	if n%2 == 0 {
		if write(c, head+"Content-Length: 1000000000\r\n\r\n") {
			endless(c, "x", bodyPiece)
		}
		return
	}
	chunk := strings.Repeat("x", 4096)
	if write(c, head+"Transfer-Encoding: chunked\r\n\r\n") {
		endless(c, "1000\r\n"+chunk+"\r\n", bodyPiece)
	}
}

// slowInterval is the time between two bytes of a slow client.
const slowInterval = 200 * time.Millisecond

// slow sends one byte now and then until the connection fails.
func slow(c net.Conn) {
	for write(c, "x") {
		time.Sleep(slowInterval)
	}
}

// ahead sends n requests before it reads any response.
func ahead(c net.Conn, one string, n int) {
	const together = 500
	batch := strings.Repeat(one, together)
	for range n / together {
		if !write(c, batch) {
			return
		}
	}
}
