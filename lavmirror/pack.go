package lavmirror

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// maxUnpackedBytes bounds packed entries once they are unpacked: several of the
// largest values that the store holds.
const maxUnpackedBytes = 16 << 20

// Compress returns entries in the form in which hosts tell them. Desired states repeat
// themselves, and shrink to a sixth or less.
func Compress(entries []Entry) ([]byte, error) {
	data, err := cbor.Marshal(entries)
	if err != nil {
		return nil, errors.Wrap(err, "encode entries")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	return packed.Bytes(), nil
}

// Decompress returns packed entries.
func Decompress(packed []byte) ([]Entry, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack entries")
	}
	if len(data) > maxUnpackedBytes {
		return nil, errors.Newf("entries of more than %d bytes", maxUnpackedBytes)
	}
	var entries []Entry
	err = cbor.Unmarshal(data, &entries)
	return entries, errors.Wrap(err, "decode entries")
}
