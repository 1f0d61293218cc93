package wire

// Protocol is the ALPN protocol name of connections. Its version number changes
// only with the framing.
const Protocol = "laureltally/1"

// MaxMessageBytes bounds the CBOR body of one message, in bytes.
const MaxMessageBytes = 16 << 20

// ChunkBytes is the largest payload of one Chunk, in bytes.
const ChunkBytes = 32 << 10
