package boundedhttp

import "bytes"

// headerLineBytes is what a line of a header costs beyond its bytes.
const headerLineBytes = 128

// headerMeter measures the header of a request as it arrives. Several headers in one read
// count as one if no bodies are expected: then what follows a header is the next one.
type headerMeter struct {
	// freeBytes and freeLines cost nothing.
	freeBytes, freeLines int
	bodies               bool

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

// add measures received bytes and returns the cost of the header so far.
func (m *headerMeter) add(p []byte) (cost int) {
	if m.ended && m.bodies {
		return m.cost()
	}
	m.ended = false
	for {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			m.bytes += len(p)
			m.line += text(p)
			return max(cost, m.cost())
		}
		m.bytes += end + 1
		m.lines++
		m.line += text(p[:end])
		p = p[end+1:]
		cost = max(cost, m.cost())
		if m.line == 0 && m.lines > 1 {
			m.end(p)
			return cost
		}
		m.line = 0
	}
}

// cost returns what the header costs beyond what is free.
func (m *headerMeter) cost() int {
	return max(0, m.bytes-m.freeBytes) + max(0, m.lines-m.freeLines)*headerLineBytes
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
