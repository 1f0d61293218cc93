package keys

import (
	"os"
	"time"
)

// fileStamp tells whether a file was replaced.
type fileStamp struct {
	modified time.Time
	size     int64
}

// fileStamps are those of CA, certificate and key.
type fileStamps [3]fileStamp

// stampFiles looks at the files. One that is missing has a zero stamp.
func stampFiles(o ReloaderOptions) fileStamps {
	var stamps fileStamps
	for i, path := range []string{o.CA, o.Certificate, o.Key} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
		}
	}
	return stamps
}
