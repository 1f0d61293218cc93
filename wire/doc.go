// Package wire defines the messages that laureltally's processes exchange, and
// their framing: a type byte, a four-byte big-endian length and a CBOR body.
//
// Fields have integer keys. A reader ignores unknown fields, so that newer
// versions can add fields; the meaning of a field never changes.
package wire
