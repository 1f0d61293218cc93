package retry

import "github.com/laureltally/laureltally/wire"

// permanent tells whether every attempt would fail alike.
func permanent(c wire.Code) bool {
	switch c {
	case wire.CodeRateLimited, wire.CodeUnknownModel, wire.CodeUnknownEnvironment,
		wire.CodeUnknownService, wire.CodeUnauthorized, wire.CodeMalformed,
		wire.CodeBodyTooLarge, wire.CodeBodyTimeout, wire.CodeKeyReused,
		wire.CodeResponseExpired, wire.CodeCanceled, wire.CodePlatformUnavailable:
		return true
	}
	return false
}

// misdirected tells whether the VM was only the wrong one to ask.
func misdirected(c wire.Code) bool {
	switch c {
	case wire.CodeDraining, wire.CodeWrongIncarnation, wire.CodeNoReplica:
		return true
	}
	return false
}
