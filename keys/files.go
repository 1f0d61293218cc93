package keys

import (
	"bytes"
	"fmt"
	"os"
)

// files holds the contents of the files that a Reloader watches.
type files struct {
	ca          []byte
	certificate []byte
	key         []byte
}

func readFiles(o ReloaderOptions) (files, error) {
	var f files
	sources := []struct {
		path   string
		target *[]byte
	}{{o.CA, &f.ca}, {o.Certificate, &f.certificate}, {o.Key, &f.key}}
	for _, p := range sources {
		content, err := os.ReadFile(p.path)
		if err != nil {
			return files{}, fmt.Errorf("read certificate files: %w", err)
		}
		*p.target = content
	}
	return f, nil
}

func (f files) equal(g files) bool {
	return bytes.Equal(f.ca, g.ca) && bytes.Equal(f.certificate, g.certificate) && bytes.Equal(f.key, g.key)
}
