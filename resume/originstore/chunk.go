package originstore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/resume"
)

// prefix begins the keys of chunks.
const prefix = "streams/"

// keyBytes is the size of a resume.StreamKey, in bytes.
const keyBytes = 8

// chunkRecord is a chunk in the store.
type chunkRecord struct {
	// WrittenMS is the time of the newest write by the clock of its writer, in Unix
	// milliseconds. It only decides when a chunk is passed over or deleted.
	WrittenMS int64 `json:"written_ms"`
	// Begun holds the keys of the streams that began at each version, eight bytes each in
	// big-endian order, in base64.
	Begun map[string]string `json:"begun"`
}

func encodeChunk(streams map[resume.StreamKey]string, now time.Time) ([]byte, error) {
	packed := make(map[string][]byte)
	for key, software := range streams {
		packed[software] = binary.BigEndian.AppendUint64(packed[software], uint64(key))
	}
	r := chunkRecord{WrittenMS: now.UnixMilli(), Begun: make(map[string]string, len(packed))}
	for software, keys := range packed {
		r.Begun[software] = base64.StdEncoding.EncodeToString(keys)
	}
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode streams: %w", err)
	}
	return value, nil
}

// decodeChunk returns the time of a chunk, and calls add for each of its streams.
func decodeChunk(value []byte, add func(resume.StreamKey, string)) (time.Time, error) {
	var r chunkRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return time.Time{}, fmt.Errorf("decode streams: %w", err)
	}
	for software, text := range r.Begun {
		keys, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			return time.Time{}, fmt.Errorf("decode streams: %w", err)
		}
		if len(keys)%keyBytes != 0 {
			return time.Time{}, &LengthError{Bytes: len(keys)}
		}
		for ; len(keys) > 0; keys = keys[keyBytes:] {
			add(resume.StreamKey(binary.BigEndian.Uint64(keys)), software)
		}
	}
	return time.UnixMilli(r.WrittenMS), nil
}
