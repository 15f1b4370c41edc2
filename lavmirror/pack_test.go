package lavmirror

import (
	"bytes"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
)

func TestPack(t *testing.T) {
	entries := []Entry{
		{Key: "a", Value: bytes.Repeat([]byte(`{"name":"r1","host":"h"},`), 500), Revision: 7},
		{Key: "b", Revision: 8, Removed: true},
	}
	packed, err := Compress(entries)
	lavassert.NoError(t, err)
	lavassert.AtMost(t, "packed bytes", len(packed), len(entries[0].Value)/6)
	got, err := Decompress(packed)
	lavassert.NoError(t, err)
	lavassert.Equal(t, "entries", got, entries)
	_, err = Decompress(packed[:len(packed)/2])
	lavassert.True(t, "an error for half of it", err != nil)
}

func FuzzUnpack(f *testing.F) {
	packed, err := Compress([]Entry{{Key: "a", Value: []byte("v"), Revision: 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Fuzz(func(_ *testing.T, packed []byte) { _, _ = Decompress(packed) })
}
