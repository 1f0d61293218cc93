package boundedhttp

import "bytes"

// headerMeter measures the header of a request as it arrives. Several headers in one read
// count as one if no bodies are expected: then what follows a header is the next one.
type headerMeter struct {
	maxBytes, maxLines int
	bodies             bool

	bytes, lines int
	// line is the length of the line that has begun, without its end.
	line int
	// ended is set after the empty line.
	ended bool
}

// next begins the next header.
func (m *headerMeter) next() {
	if m.bodies {
		m.bytes, m.lines, m.line = 0, 0, 0
	}
	m.ended = false
}

// add measures received bytes and reports whether the header is within its limits.
func (m *headerMeter) add(p []byte) bool {
	if m.ended && m.bodies {
		return true
	}
	m.ended = false
	for {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			m.bytes += len(p)
			m.line += text(p)
			return m.within()
		}
		m.bytes += end + 1
		m.lines++
		m.line += text(p[:end])
		p = p[end+1:]
		if !m.within() {
			return false
		}
		if m.line == 0 && m.lines > 1 {
			m.end(p)
			return true
		}
		m.line = 0
	}
}

// end ends a header. The rest, which came with it, is a part of the next header unless it
// may be a body.
func (m *headerMeter) end(rest []byte) {
	m.ended = true
	if !m.bodies {
		m.bytes, m.lines = len(rest), bytes.Count(rest, []byte{'\n'})
		m.line = text(rest[bytes.LastIndexByte(rest, '\n')+1:])
	}
}

// text returns the length of a line or a part of it without carriage returns.
func text(p []byte) int { return len(p) - bytes.Count(p, []byte{'\r'}) }

func (m *headerMeter) within() bool { return m.bytes <= m.maxBytes && m.lines <= m.maxLines }
