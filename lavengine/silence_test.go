package lavengine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
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

// testCluster is a set of engines to which one entry host has idle connections.
type testCluster struct {
	network *lavfakenet.Network
	engines []*lavfake.Engine
	pins    *lavengine.PinnedClients
	// expectCold is true if the entry host expects the engines to be cold.
	expectCold bool
}

const entryHost = "entry"

func nthEngineName(i int) string { return fmt.Sprint("engine-", i) }

func nthEngineAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8000)
}

// withCluster runs body with a cluster of that many engines.
func withCluster(t *testing.T, engines int, body func(t *testing.T, tc *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := &testCluster{network: lavfakenet.New(1, func(_, _ lavfakenet.HostInfo) lavfakenet.Link {
			return lavfakenet.Link{Delay: time.Millisecond}
		})}
		for i := range engines {
			engine := lavfake.NewEngine(lavfake.EngineSettings{
				MemoryTokens: 100_000, PrefillRate: 16_000, DecodeRate: 40, Step: 25 * time.Millisecond,
				ColdLimit: 2, ColdTime: time.Minute,
				Heartbeat: 500 * time.Millisecond, Models: []string{"m"},
			})
			l, err := tc.network.Host(lavfakenet.HostInfo{Host: nthEngineName(i)}).Listen("tcp", nthEngineAddr(i).String())
			lavassert.NoError(t, err)
			server := &http.Server{Handler: engine.Handler()}
			go func() { _ = server.Serve(l) }()
			defer engine.Close()
			defer func() { lavassert.NoError(t, server.Close()) }()
			tc.engines = append(tc.engines, engine)
		}
		client := &http.Client{Transport: &http.Transport{DialContext: tc.network.Host(lavfakenet.HostInfo{Host: entryHost}).DialContext}}
		tc.pins = lavengine.NewPinnedClients(client)
		defer tc.pins.CloseIdleConnections()
		body(t, tc)
	})
}

// runPrompt runs a prompt at an engine and returns the time that it took.
func (tc *testCluster) runPrompt(ctx context.Context, i int, id lavrequest.ID) (time.Duration, error) {
	start := time.Now()
	e := lavengine.NewPinnedEngine(tc.pins, nthEngineAddr(i), lavengine.Pin{Incarnation: tc.engines[i].Incarnation(), Cold: tc.expectCold})
	s, err := e.Submit(ctx, lavengine.Submission{ID: id, Model: "m", Prompt: "a till caption", MaxTokens: 4})
	if err != nil {
		return time.Since(start), err
	}
	for err == nil {
		_, err = s.Next()
	}
	if errors.Is(err, io.EOF) {
		err = s.Close()
	}
	return time.Since(start), err
}

// TestSilenceAtOneEngine guards against a request that tries a silent connection
// to one engine after another until its time is used up. One silent connection
// must cause the idle connections to all engines to be closed.
func TestSilenceAtOneEngine(t *testing.T) {
	const engines = 4
	withCluster(t, engines, func(t *testing.T, tc *testCluster) {
		for i := range engines {
			_, err := tc.runPrompt(t.Context(), i, lavrequest.ID(fmt.Sprint("before-", i)))
			lavassert.NoError(t, err)
		}
		for i := range engines {
			tc.network.Blackhole(entryHost, nthEngineName(i))
		}
		_, err := tc.runPrompt(t.Context(), 0, "silent")
		lavassert.ErrorIs(t, err, lavengine.ErrSilent)
		for i := range engines {
			took, err := tc.runPrompt(t.Context(), i, lavrequest.ID(fmt.Sprint("after-", i)))
			lavassert.NoError(t, err)
			lavassert.AtMost(t, "time on a new connection", took, 500*time.Millisecond)
		}
	})
}
