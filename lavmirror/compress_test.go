package lavmirror

import (
	"bytes"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
)

func TestCompress(t *testing.T) {
	entries := []Entry{
		{Key: "a", Value: bytes.Repeat([]byte(`{"name":"r1","host":"h"},`), 500), Revision: 7},
		{Key: "b", Revision: 8, Removed: true},
	}
	compressed, err := Compress(entries)
	lavassert.NoError(t, err)
	lavassert.AtMost(t, "compressed bytes", len(compressed), len(entries[0].Value)/6)
	got, err := Decompress(compressed)
	lavassert.NoError(t, err)
	lavassert.Equal(t, "entries", got, entries)
	_, err = Decompress(compressed[:len(compressed)/2])
	lavassert.True(t, "truncated data is rejected", err != nil)
}

func FuzzUnpack(f *testing.F) {
	compressed, err := Compress([]Entry{{Key: "a", Value: []byte("v"), Revision: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(compressed)
	f.Fuzz(func(_ *testing.T, compressed []byte) { _, _ = Decompress(compressed) })
}
