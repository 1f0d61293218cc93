// Package retry decides whether an attempt that gave no answer may be repeated,
// when, and whether a slow one is worth a second attempt beside it.
//
// Budget bounds all of this to a share of the successes. Policy decides on one
// failure, Hedger on one slow attempt. None of them reads a clock or is safe for
// concurrent use.
package retry
