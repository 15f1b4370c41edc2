package lavengine_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavfakenet"
	"lavenderrack.example/lavenderrack/lavrequest"
)

var pinnedAddr = netip.MustParseAddrPort("10.1.0.1:8000")

// TestPinned sends a prompt that a cold engine doesn't bear to an engine that
// has restarted since its last load report.
func TestPinned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lavfakenet.New(1, func(_, _ lavfakenet.Place) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		engine := lavfake.NewEngine(lavfake.EngineSettings{
			MemoryTokens: 100_000, PrefillRate: 16_000, DecodeRate: 40, Step: 25 * time.Millisecond,
			ColdLimit: 2000, ColdTime: time.Minute, Models: []string{"m"},
		})
		l, err := n.Host(lavfakenet.Place{Host: "engine"}).Listen("tcp", pinnedAddr.String())
		lavassert.NoError(t, err)
		server := &http.Server{Handler: engine.Handler()}
		go func() { _ = server.Serve(l) }()
		client := &http.Client{Transport: &http.Transport{DialContext: n.Host(lavfakenet.Place{Host: "entry"}).DialContext}}
		pins := lavengine.NewPins(client)
		first := engine.Incarnation()
		submit := func(id lavrequest.ID) error {
			e := lavengine.NewPinned(pins, pinnedAddr, first)
			s, err := e.Submit(t.Context(), lavengine.Submission{ID: id, Model: "m", Prompt: strings.Repeat("abcd", 10_000), MaxTokens: 4})
			if err != nil {
				return err
			}
			for err == nil {
				_, err = s.Next()
			}
			return s.Close()
		}
		lavassert.NoError(t, submit("a"))
		lavassert.NoError(t, submit("b"))
		engine.Restart()
		// The first finds its connection dead, the second may dial none.
		lavassert.True(t, "fails on the old connection", submit("c") != nil)
		lavassert.ErrorIs(t, submit("d"), lavengine.ErrNotSent)
		lavassert.ErrorIs(t, submit("d"), lavengine.ErrRestarted)
		lavassert.Equal(t, "cold overloads", engine.Counts().ColdOverloads, 0)
		lavassert.Equal(t, "prompts that arrived", engine.Counts().Submitted, 2)
		pins.Close()
		client.CloseIdleConnections()
		lavassert.NoError(t, server.Close())
		engine.Close()
	})
}
