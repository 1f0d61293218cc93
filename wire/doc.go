// Package wire defines the messages between the system's own processes and
// their framing: a type byte, a four-byte big-endian length and a CBOR body.
//
// Fields have integer keys. A reader ignores fields that it does not know, so
// that a newer process may add some; a field's meaning never changes.
package wire
