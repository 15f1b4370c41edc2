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

// nonOwner is the Sharing of a host that owns no endpoint in a fleet of 430 hosts.
type nonOwner struct{}

func (nonOwner) Owns(string) bool                  { return false }
func (nonOwner) Hosts() int                        { return 430 }
func (nonOwner) Rank() int                         { return 9 }
func (nonOwner) Broadcast(lavendpoint.UpdateBatch) {}

// largeTable returns a table of 1,100 endpoints with a full report for each.
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
		batch.Full = append(batch.Full, lavendpoint.FullReport{Name: name, Report: warmReport("a")})
	}
	releases := lavrelease.NewFollower(lavfake.NewStore())
	releases.Adopt(b.Context(), state)
	t := lavendpoint.New(releases, &hostList{}, func(*lavendpoint.Endpoint) lavengine.Engine { return nil })
	t.SetSharing(nonOwner{})
	t.ApplyBatch(batch, time.Now())
	return t
}

// BenchmarkTable measures a host's work at 1,100 endpoints: rebuilding the
// snapshot, and applying a batch with load updates for three endpoints.
func BenchmarkTable(b *testing.B) {
	b.Run("snapshot", func(b *testing.B) {
		t := largeTable(b)
		ctx, cancel := context.WithCancel(b.Context())
		cancel()
		b.ReportAllocs()
		for b.Loop() {
			// Serve runs a single iteration because the context has ended.
			_ = t.Serve(ctx)
		}
	})
	b.Run("batch", func(b *testing.B) {
		t := largeTable(b)
		full := lavendpoint.UpdateBatch{Release: 1, Loads: []lavendpoint.LoadUpdate{{Index: 3}, {Index: 500}, {Index: 900}}}
		b.ReportAllocs()
		for b.Loop() {
			t.ApplyBatch(full, time.Now())
		}
	})
}
