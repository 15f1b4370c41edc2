package lavengine_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavresponse"
)

// callsAtOnce is how many calls are answered without end at the same time.
const callsAtOnce = 200

// submit submits a prompt and reads its stream.
func submit(ctx context.Context, e lavengine.Engine) error {
	stream, err := e.Submit(ctx, lavengine.Submission{ID: "r", Prompt: "p", MaxTokens: 3})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		if _, err := stream.Next(); err != nil {
			return err
		}
	}
}

// TestEndlessRepliesLeaveMemory guards against a host that runs out of memory, since it keeps replies of engines that
// don't end.
func TestEndlessRepliesLeaveMemory(t *testing.T) {
	calls := map[string]func(ctx context.Context, e, pinned lavengine.Engine) error{
		"Load": func(ctx context.Context, e, _ lavengine.Engine) error {
			_, err := e.Load(ctx)
			return err
		},
		"Stream": func(ctx context.Context, e, _ lavengine.Engine) error { return submit(ctx, e) },
		"Pin":    func(ctx context.Context, _, pinned lavengine.Engine) error { return submit(ctx, pinned) },
	}
	for _, endless := range lavfake.EndlessAnswers(namesIncarnation) {
		server := httptest.NewServer(&endless)
		defer server.Close()
		client := lavresponse.NewClient(&http.Client{Transport: &http.Transport{}})
		pins := lavengine.NewPinnedClients(client)
		e := lavengine.NewHTTP(client, server.URL)
		pinned := lavengine.NewPinnedEngine(pins, netip.MustParseAddrPort(server.Listener.Addr().String()), lavengine.Pin{Incarnation: "i"})
		for name, call := range calls {
			t.Run(endless.Name+"/"+name, func(t *testing.T) {
				lavassert.FitsIntoHost(t, func() {
					var running sync.WaitGroup
					for range callsAtOnce {
						running.Go(func() { lavassert.True(t, "call failed", call(t.Context(), e, pinned) != nil) })
					}
					running.Wait()
				})
			})
		}
	}
}
