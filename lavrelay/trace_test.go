package lavrelay

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/platform/standin"

	"github.com/phuslu/log"
)

func TestLogNamesFramingAndPartialBytes(t *testing.T) {
	tests := []struct {
		name    string
		handler standin.Handler
		want    string
	}{
		{"Length", standin.Respond(200, "ok"), `"Framing":"Length","PartialBytes":0`},
		{"Chunks", standin.Stream(standin.StreamEvents), `"Framing":"Chunks","PartialBytes":0`},
		{"ChunksInsideEvent", standin.Stream(2), `"Framing":"Chunks","PartialBytes":5`},
		{"CloseInsideEvent", standin.UnframedStream(2), `"Framing":"Close","PartialBytes":5`},
		{"NoResponse", standin.CloseConnection, `"Framing":"None","PartialBytes":0`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(test.handler)
				var lines bytes.Buffer
				b.relay.logger = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &lines}}
				b.serve(context.Background(), b.call(lavconfig.KindStreaming))
				lavassert.True(t, "log line has "+test.want, strings.Contains(lines.String(), test.want))
				b.relay.pool.Sweep(func(netip.AddrPort) bool { return false })
			})
		})
	}
}

// TestLogNamesForeignBytes checks that a call's line says which endpoint sent bytes that are no event, and
// after which event.
func TestLogNamesForeignBytes(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"Text", "internal error\n\n", `"Foreign":"e1 after event 3: line has no field of an event: `},
		{"Binary", "\x00\n\n", `"Foreign":"e1 after event 3: line is no text: `},
		{"OldID", "id: 2\ndata: x\n\n", `"Foreign":"e1 after event 3: ID 2 does not follow 3: `},
		{"Comment", ": comment\n\n", `"Foreign":""`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newFixture(standin.StreamWith(test.text, 3, standin.FramedByChunks, false))
				var lines bytes.Buffer
				b.relay.logger = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &lines}}
				b.serve(context.Background(), b.call(lavconfig.KindStreaming))
				lavassert.True(t, "log line has "+test.want, strings.Contains(lines.String(), test.want))
				b.closePool()
			})
		})
	}
}

// TestLogNamesTheLimit checks that a call's line says which limit it met.
func TestLogNamesTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(standin.RespondLimited(200, "ok", 0.2))
		var lines bytes.Buffer
		b.relay.logger = &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &lines}}
		b.serve(context.Background(), b.call(lavconfig.KindUnsafe))
		lavassert.True(t, "line of the answer names the limit", strings.Contains(lines.String(), `"Limit":"0.2"`))
		time.Sleep(2 * time.Second)
		b.serve(context.Background(), b.call(lavconfig.KindUnsafe))
		want := `"LimitedBy":"e1 takes 0.2 a second, stated 2s ago, 0 for this host"`
		lavassert.True(t, "line of the refusal names the limit", strings.Contains(lines.String(), want))
		b.sweep()
	})
}
