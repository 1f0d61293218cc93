package grant

import "github.com/laureltally/laureltally/platform"

// versioned is a grant with the version of its object.
type versioned struct {
	grant   Grant
	version platform.Version
}
