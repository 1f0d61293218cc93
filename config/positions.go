package config

import (
	"bytes"
	"strings"
)

// positions maps the paths of fields to their positions in a text.
type positions struct {
	text    []byte
	offsets map[string]int
}

// find returns the line and column of a field, or of the innermost enclosing
// field that is present in the text. Without a text it returns zeros.
func (p positions) find(path string) (line, column int) {
	if p.text == nil {
		return 0, 0
	}
	for {
		if offset, ok := p.offsets[path]; ok {
			return p.lineColumn(offset)
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
}

func (p positions) lineColumn(offset int) (line, column int) {
	before := p.text[:offset]
	return bytes.Count(before, []byte{'\n'}) + 1, offset - bytes.LastIndexByte(before, '\n')
}
