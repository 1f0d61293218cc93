package ident

import "strconv"

// RequestDigest is a hash of what a request asks a server to do. The repeats of a request
// have the same digest.
type RequestDigest uint64

// String returns the digest in hexadecimal.
func (d RequestDigest) String() string { return strconv.FormatUint(uint64(d), 16) }
