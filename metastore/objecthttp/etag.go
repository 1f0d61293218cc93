package objecthttp

import (
	"strconv"
	"strings"

	"github.com/laureltally/laureltally/metastore"
)

// FormatETag returns the entity tag of a version.
func FormatETag(v metastore.Version) string {
	return strconv.Quote(strconv.FormatUint(uint64(v), 10))
}

// ParseETag returns the version of an entity tag. Any other text is an *ETagError.
func ParseETag(tag string) (metastore.Version, error) {
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, &ETagError{Tag: tag}
	}
	return metastore.Version(v), nil
}
