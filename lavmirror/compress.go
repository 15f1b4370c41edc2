package lavmirror

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxDecompressedBytes is the maximum size of decompressed entries. It allows
// for several values of the largest size that the store accepts.
const maxDecompressedBytes = 16 << 20

// Compress encodes and compresses entries for sending them to other hosts.
// Desired states are repetitive and shrink to a sixth of their size or less.
func Compress(entries []Entry) ([]byte, error) {
	data, err := cbor.Marshal(entries)
	if err != nil {
		return nil, errors.Wrap(err, "encode entries")
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	return compressed.Bytes(), nil
}

// Decompress decodes entries that Compress encoded.
func Decompress(compressed []byte) ([]Entry, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress entries")
	}
	if len(data) > maxDecompressedBytes {
		return nil, errors.Newf("decompressed entries exceed %d bytes", maxDecompressedBytes)
	}
	var entries []Entry
	err = cbor.Unmarshal(data, &entries)
	return entries, errors.Wrap(err, "decode entries")
}
