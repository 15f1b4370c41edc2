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

// silentWorld is some engines that one entry host has idle connections to.
type silentWorld struct {
	network *lavfakenet.Network
	engines []*lavfake.Engine
	pins    *lavengine.PinnedClients
	// cold is true if the entry host takes the engines to be cold.
	cold bool
}

const entryName = "entry"

func rackName(i int) string { return fmt.Sprint("engine-", i) }

func rackAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8000)
}

// inSilentWorld runs body with that many engines.
func inSilentWorld(t *testing.T, engines int, body func(t *testing.T, w *silentWorld)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &silentWorld{network: lavfakenet.New(1, func(_, _ lavfakenet.Place) lavfakenet.Link {
			return lavfakenet.Link{Delay: time.Millisecond}
		})}
		for i := range engines {
			engine := lavfake.NewEngine(lavfake.EngineSettings{
				MemoryTokens: 100_000, PrefillRate: 16_000, DecodeRate: 40, Step: 25 * time.Millisecond,
				ColdLimit: 2, ColdTime: time.Minute,
				Heartbeat: 500 * time.Millisecond, Models: []string{"m"},
			})
			l, err := w.network.Host(lavfakenet.Place{Host: rackName(i)}).Listen("tcp", rackAddr(i).String())
			lavassert.NoError(t, err)
			server := &http.Server{Handler: engine.Handler()}
			go func() { _ = server.Serve(l) }()
			defer engine.Close()
			defer func() { lavassert.NoError(t, server.Close()) }()
			w.engines = append(w.engines, engine)
		}
		client := &http.Client{Transport: &http.Transport{DialContext: w.network.Host(lavfakenet.Place{Host: entryName}).DialContext}}
		w.pins = lavengine.NewPinnedClients(client)
		defer w.pins.CloseIdleConnections()
		body(t, w)
	})
}

// prompt runs a prompt at an engine and returns how long it took.
func (w *silentWorld) prompt(ctx context.Context, i int, id lavrequest.ID) (time.Duration, error) {
	began := time.Now()
	e := lavengine.NewPinnedEngine(w.pins, rackAddr(i), lavengine.Pin{Incarnation: w.engines[i].Incarnation(), Cold: w.cold})
	s, err := e.Submit(ctx, lavengine.Submission{ID: id, Model: "m", Prompt: "a till caption", MaxTokens: 4})
	if err != nil {
		return time.Since(began), err
	}
	for err == nil {
		_, err = s.Next()
	}
	if errors.Is(err, io.EOF) {
		err = s.Close()
	}
	return time.Since(began), err
}

// TestSilenceAtOneEngine guards against meeting one silent connection after
// another, one to each engine, until no time is left.
func TestSilenceAtOneEngine(t *testing.T) {
	const engines = 4
	inSilentWorld(t, engines, func(t *testing.T, w *silentWorld) {
		for i := range engines {
			_, err := w.prompt(t.Context(), i, lavrequest.ID(fmt.Sprint("before-", i)))
			lavassert.NoError(t, err)
		}
		for i := range engines {
			w.network.Silence(entryName, rackName(i))
		}
		_, err := w.prompt(t.Context(), 0, "silent")
		lavassert.ErrorIs(t, err, lavengine.ErrSilent)
		for i := range engines {
			took, err := w.prompt(t.Context(), i, lavrequest.ID(fmt.Sprint("after-", i)))
			lavassert.NoError(t, err)
			lavassert.AtMost(t, "time on a new connection", took, 500*time.Millisecond)
		}
	})
}
