package retry

import "github.com/laureltally/laureltally/wire"

// isPermanent reports whether every further attempt would fail in the same way.
func isPermanent(c wire.Code) bool {
	switch c {
	case wire.CodeRateLimited, wire.CodeUnknownModel, wire.CodeUnknownEnvironment,
		wire.CodeUnknownService, wire.CodeUnauthorized, wire.CodeMalformed,
		wire.CodeBodyTooLarge, wire.CodeBodyTimeout, wire.CodeKeyReused,
		wire.CodeResponseExpired, wire.CodeCanceled, wire.CodePlatformUnavailable:
		return true
	}
	return false
}

// isMisdirected reports whether only the choice of VM was wrong.
func isMisdirected(c wire.Code) bool {
	switch c {
	case wire.CodeDraining, wire.CodeWrongIncarnation, wire.CodeNoReplica:
		return true
	}
	return false
}
