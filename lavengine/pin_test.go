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

	"github.com/cockroachdb/errors"
)

var pinnedAddr = netip.MustParseAddrPort("10.1.0.1:8000")

// TestPinned guards against a prompt that is too large for a cold engine being
// sent to an engine that has restarted since its last load report.
func TestPinned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link { return lavfakenet.Link{Delay: time.Millisecond} })
		engine := lavfake.NewEngine(lavfake.EngineSettings{
			MemoryTokens: 100_000, PrefillRate: 16_000, DecodeRate: 40, Step: 25 * time.Millisecond,
			ColdLimit: 2000, ColdTime: time.Minute, Models: []string{"m"},
		})
		l, err := n.Host(lavfakenet.HostInfo{Host: "engine"}).Listen("tcp", pinnedAddr.String())
		lavassert.NoError(t, err)
		server := &http.Server{Handler: engine.Handler()}
		go func() { _ = server.Serve(l) }()
		client := &http.Client{Transport: &http.Transport{DialContext: n.Host(lavfakenet.HostInfo{Host: "entry"}).DialContext}}
		pins := lavengine.NewPinnedClients(client)
		pin := lavengine.Pin{Incarnation: engine.Incarnation()}
		submit := func(id lavrequest.ID) error {
			e := lavengine.NewPinnedEngine(pins, pinnedAddr, pin)
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
		// The first prompt after the restart fails on the closed connection. The
		// second one opens a new connection, which is rejected because the
		// incarnation has changed.
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

// TestPinnedToWarm guards against a prompt for a warm engine being sent on a new
// connection to an engine that has turned cold in the meantime.
func TestPinnedToWarm(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, tc *testCluster) {
		_, err := tc.runPrompt(t.Context(), 0, "before")
		lavassert.NoError(t, err)
		tc.pins.CloseIdleConnections()
		tc.engines[0].MakeCold()
		_, err = tc.runPrompt(t.Context(), 0, "warm")
		lavassert.ErrorIs(t, err, lavengine.ErrNotSent)
		lavassert.ErrorIs(t, err, lavengine.ErrTurnedCold)
		lavassert.Equal(t, "prompts that arrived", tc.engines[0].Counts().Submitted, 1)
		tc.expectCold = true
		_, err = tc.runPrompt(t.Context(), 0, "cold")
		lavassert.True(t, "a prompt that expects a cold engine is sent", !errors.Is(err, lavengine.ErrNotSent))
		lavassert.Equal(t, "prompts that arrived", tc.engines[0].Counts().Submitted, 2)
	})
}
