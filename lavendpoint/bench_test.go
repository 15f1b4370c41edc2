package lavendpoint_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// stranger is a Sharing of a host that owns nothing among 430.
type stranger struct{}

func (stranger) Owns(string) bool       { return false }
func (stranger) Hosts() int             { return 430 }
func (stranger) Rank() int              { return 9 }
func (stranger) Broadcast(lavendpoint.UpdateBatch) {}

// largeTable returns a table of 1,100 endpoints with a full report of each.
func largeTable(b *testing.B) *lavendpoint.Table {
	b.Helper()
	state := &lavrelease.State{Version: 1, NoteID: "large"}
	batch := lavendpoint.UpdateBatch{Release: 1}
	for i := range 6 {
		state.FailureDomains = append(state.FailureDomains, lavrelease.FailureDomain{Name: fmt.Sprint("domain-", i), Region: "inland"})
	}
	for i := range 1100 {
		name := fmt.Sprintf("engine-%04d", i)
		state.Hosts = append(state.Hosts, lavrelease.Host{Name: "rack-" + name, FailureDomain: fmt.Sprint("domain-", i%6)})
		state.Endpoints = append(state.Endpoints, lavrelease.Endpoint{Name: name, Host: "rack-" + name})
		batch.Full = append(batch.Full, lavendpoint.Full{Name: name, Report: warm("a")})
	}
	releases := lavrelease.NewFollower(lavfake.NewStore())
	releases.Adopt(b.Context(), state)
	t := lavendpoint.New(releases, &hostList{}, func(*lavendpoint.Endpoint) lavengine.Engine { return nil })
	t.SetSharing(stranger{})
	t.ApplyBatch(batch, time.Now())
	return t
}

// BenchmarkTable measures a host's work at 1,100 endpoints: a snapshot made
// anew, and a batch of loads from the owner of three.
func BenchmarkTable(b *testing.B) {
	b.Run("snapshot", func(b *testing.B) {
		t := largeTable(b)
		ctx, cancel := context.WithCancel(b.Context())
		cancel()
		b.ReportAllocs()
		for b.Loop() {
			// One turn: the context has ended.
			_ = t.Serve(ctx)
		}
	})
	b.Run("batch", func(b *testing.B) {
		t := largeTable(b)
		full := lavendpoint.UpdateBatch{Release: 1, Loads: []lavendpoint.Load{{Index: 3}, {Index: 500}, {Index: 900}}}
		b.ReportAllocs()
		for b.Loop() {
			t.ApplyBatch(full, time.Now())
		}
	})
}
