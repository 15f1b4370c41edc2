package lavcapacity_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"lavenderrack.example/lavenderrack/lavassert"
	"lavenderrack.example/lavenderrack/lavburn"
	"lavenderrack.example/lavenderrack/lavcapacity"
	"lavenderrack.example/lavenderrack/lavendpoint"
	"lavenderrack.example/lavenderrack/lavengine"
	"lavenderrack.example/lavenderrack/lavmember"
	"lavenderrack.example/lavenderrack/lavqueue"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavrequest"
	"lavenderrack.example/lavenderrack/lavroute"

	"github.com/fxamacker/cbor/v2"
)

var (
	target = lavcapacity.DesignTarget()
	limits = lavcapacity.DesignLimits()
)

// extrapolate measures the cost at each size, logs the samples and the fitted
// line, and returns the cost that the line gives at targetSize.
func extrapolate(t *testing.T, name, unit string, sizes []int, targetSize int, cost func(n int) float64) float64 {
	t.Helper()
	var points []lavcapacity.Point
	samples := ""
	for _, n := range sizes {
		measured := cost(n)
		points = append(points, lavcapacity.Point{Size: float64(n), Cost: measured})
		samples += fmt.Sprintf(" %d:%.4g", n, measured)
	}
	line := lavcapacity.Fit(points)
	predicted := line.At(float64(targetSize))
	t.Logf("%s in %s:%s; %v; at %d: %.4g", name, unit, samples, line, targetSize, predicted)
	return predicted
}

// microsecondsPerCall returns the time of one call in microseconds. It takes the
// fastest of several rounds, because other load of the machine only adds time.
func microsecondsPerCall(call func()) float64 {
	fastest := time.Duration(1<<63 - 1)
	for range 5 {
		const calls = 20
		startedAt := time.Now()
		for range calls {
			call()
		}
		fastest = min(fastest, time.Since(startedAt)/calls)
	}
	return float64(fastest.Nanoseconds()) / 1000
}

// retainedBytes returns the heap bytes that the value built by build retains.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	// Two collections are needed: pooled objects and objects with finalizers
	// survive the first one.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// makeCustomers returns n customers with one credential each.
func makeCustomers(n int) []lavrelease.Customer {
	customers := make([]lavrelease.Customer, n)
	for i := range customers {
		customers[i] = lavrelease.Customer{Name: fmt.Sprintf("customer-%05d", i), Share: 1, Credentials: []string{fmt.Sprintf("%064x", i)}}
	}
	return customers
}

// newReleaseState returns a release state with the given number of customers and
// with the failure domains, hosts and endpoints of the target.
func newReleaseState(t *testing.T, customers int) *lavrelease.State {
	t.Helper()
	note := &lavrelease.Note{ID: "first"}
	note.Add.Customers = makeCustomers(customers)
	for d := range target.FailureDomains {
		note.Add.FailureDomains = append(note.Add.FailureDomains, lavrelease.FailureDomain{Name: fmt.Sprint("domain-", d), Region: "one"})
	}
	for i := range target.Endpoints {
		name := fmt.Sprint("engine-", i)
		note.Add.Hosts = append(note.Add.Hosts, lavrelease.Host{Name: name, FailureDomain: fmt.Sprint("domain-", i%target.FailureDomains)})
		note.Add.Endpoints = append(note.Add.Endpoints, lavrelease.Endpoint{Name: name, Host: name, Addr: netip.MustParseAddrPort("10.0.0.1:8000"), MemoryTokens: 1 << 20})
	}
	state, err := lavrelease.Apply(&lavrelease.State{}, note)
	lavassert.NoError(t, err)
	return state
}

// TestSlopeRelease measures the memory and the stored size of a release, and the
// time to apply a release note, by number of customers.
func TestSlopeRelease(t *testing.T) {
	sizes := []int{1_000, 4_000, 16_000}
	releaseBytes := extrapolate(t, "release state of a host", "bytes of memory", sizes, target.Customers, func(n int) float64 {
		return retainedBytes(func() any { return newReleaseState(t, n) })
	})
	lavassert.AtMost(t, "memory of the current and the previous release", 2*releaseBytes, float64(limits.MemoryBytes)/2)
	extrapolate(t, "stored release", "bytes", sizes, target.Customers, func(n int) float64 {
		encoded, err := json.Marshal(newReleaseState(t, n))
		lavassert.NoError(t, err)
		return float64(len(encoded))
	})
	note := &lavrelease.Note{ID: "next", Base: 1}
	note.Add.Models = []lavrelease.Model{{Name: "caption", Version: "1"}}
	applyMicroseconds := extrapolate(t, "applying a release note", "microseconds", sizes, target.Customers, func(n int) float64 {
		base := newReleaseState(t, n)
		return microsecondsPerCall(func() { _, _ = lavrelease.Apply(base, note) })
	})
	cpuShare := applyMicroseconds / 1e6 * float64(target.Changes) / 86_400
	t.Logf("applying %d release notes per day takes %.4f%% of a CPU core", target.Changes, 100*cpuShare)
	checkCPUShare(t, cpuShare, limits.CPUCores/4)
}

// newMemberView returns a member view with n hosts.
func newMemberView(n int) *lavmember.View {
	v := &lavmember.View{}
	for i := range n {
		v.Members = append(v.Members, lavmember.Member{Incarnation: fmt.Sprintf("host-%04d", i), Host: fmt.Sprintf("host-%04d", i)})
	}
	return v
}

// TestSlopeOwner measures the time to recompute the owners of all endpoints after
// a membership change, by number of hosts.
func TestSlopeOwner(t *testing.T) {
	names := make([]string, target.Endpoints)
	for i := range names {
		names[i] = fmt.Sprint("engine-", i)
	}
	ownerMicroseconds := extrapolate(t, "computing the owners of all endpoints", "microseconds", []int{25, 100, 430}, target.Hosts, func(n int) float64 {
		v := newMemberView(n)
		return microsecondsPerCall(func() {
			for _, name := range names {
				_, _ = lavmember.Owner(v, name)
			}
		})
	})
	// Hosts come and go about 170 times per day, and each time causes two
	// membership changes.
	checkCPUShare(t, ownerMicroseconds/1e6*340/86_400, limits.CPUCores/4)
}

// newSnapshot returns an endpoint snapshot with n ready engines in 6 failure
// domains.
func newSnapshot(n int) *lavendpoint.Snapshot {
	s := &lavendpoint.Snapshot{}
	for i := range n {
		s.Endpoints = append(s.Endpoints, lavendpoint.Endpoint{
			Name: fmt.Sprint("engine-", i), Phase: lavendpoint.PhaseReady, FailureDomain: fmt.Sprint("domain-", i%6),
			Report: lavengine.LoadReport{Models: []string{"caption"}, MemoryTokens: 1 << 20, PrefillRate: 50_000, DecodeRate: 40},
		})
	}
	return s
}

// TestSlopeRoutingTable measures the time to build a routing table and its memory,
// by number of endpoints.
func TestSlopeRoutingTable(t *testing.T) {
	sizes := []int{100, 400, 1_100}
	buildMicroseconds := extrapolate(t, "building a routing table", "microseconds", sizes, target.Endpoints, func(n int) float64 {
		s := newSnapshot(n)
		return microsecondsPerCall(func() {
			_ = lavroute.NewRoutingTable(time.Now(), s, lavroute.Locality{FailureDomain: "domain-0"}, lavroute.DefaultBacklogFractions())
		})
	})
	checkCPUShare(t, 2*buildMicroseconds/1e6, limits.CPUCores/4)
	extrapolate(t, "endpoint snapshot and routing table", "bytes of memory", sizes, target.Endpoints, func(n int) float64 {
		return retainedBytes(func() any {
			return lavroute.NewRoutingTable(time.Now(), newSnapshot(n), lavroute.Locality{}, lavroute.DefaultBacklogFractions())
		})
	})
}

// TestSlopeQueue measures the time to queue and dequeue a request and the memory
// of queued requests, by queue depth.
func TestSlopeQueue(t *testing.T) {
	now := time.Now()
	newRequest := func(i int) *lavrequest.Request {
		return &lavrequest.Request{ID: lavrequest.ID(fmt.Sprint(i)), Customer: fmt.Sprint("customer-", i%500), Model: "caption", PromptTokens: 1_000 + i, MaxTokens: 100, Arrived: now, Deadline: now.Add(time.Hour)}
	}
	newFilledQueue := func(n int) *lavqueue.Queue {
		q := lavqueue.New()
		for i := range n {
			_ = q.Offer(now, newRequest(i), lavqueue.Rates{})
		}
		return q
	}
	extrapolate(t, "queuing and dequeuing a request", "microseconds", []int{100, 1_000, 4_000}, 4_000, func(n int) float64 {
		q, i := newFilledQueue(n), n
		return microsecondsPerCall(func() {
			i++
			_ = q.Offer(now, newRequest(i), lavqueue.Rates{})
			_ = q.Next(now, func(*lavrequest.Request) bool { return true })
		})
	})
	extrapolate(t, "queued requests", "bytes of memory", []int{100, 1_000, 4_000}, 4_000, func(n int) float64 {
		return retainedBytes(func() any { return newFilledQueue(n) })
	})
}

// TestSlopeBurn measures the memory of the request counts that a host receives
// from its peers, by number of hosts, and the time to record a request, by number
// of customers.
func TestSlopeBurn(t *testing.T) {
	var objectives []lavrelease.Objective
	for i := range 12 {
		objectives = append(objectives, lavrelease.Objective{Name: fmt.Sprint("objective-", i), Target: 0.95})
	}
	listObjectives := func() []lavrelease.Objective { return objectives }
	now := time.Now()
	requestsPerHost := target.Requests * 60 / target.Hosts
	newCountsMessage := func(host int) lavburn.Message {
		b := lavburn.New(fmt.Sprint("host-", host), listObjectives)
		for i := range requestsPerHost {
			b.Record(now, lavburn.Sample{Customer: fmt.Sprint("customer-", (host*requestsPerHost+i)%target.Customers), Answered: i%20 > 0})
		}
		return b.Delta(now)
	}
	encoded, err := cbor.Marshal(newCountsMessage(0))
	lavassert.NoError(t, err)
	t.Logf("encoded counts of one host for one minute, %d objectives that match all requests: %d bytes", len(objectives), len(encoded))
	bytesPerMinute := extrapolate(t, "counts of all hosts for one unfolded minute", "bytes of memory", []int{25, 100, 430}, target.Hosts, func(n int) float64 {
		return retainedBytes(func() any {
			b := lavburn.New("reader", listObjectives)
			for h := range n {
				var message lavburn.Message
				data, err := cbor.Marshal(newCountsMessage(h))
				lavassert.NoError(t, err)
				lavassert.NoError(t, cbor.Unmarshal(data, &message))
				b.Merge(now, message)
			}
			return b
		})
	})
	lavassert.AtMost(t, "memory of six unfolded minutes", 6*bytesPerMinute, float64(limits.MemoryBytes)/2)
	recordMicroseconds := extrapolate(t, "recording a request", "microseconds", []int{1_000, 4_000, 16_000}, target.Customers, func(n int) float64 {
		b, i := lavburn.New("writer", listObjectives), 0
		return microsecondsPerCall(func() {
			i++
			b.Record(now, lavburn.Sample{Customer: fmt.Sprint("customer-", i*7%n), Answered: true})
		})
	})
	checkCPUShare(t, recordMicroseconds/1e6*float64(target.Requests)/float64(target.Hosts), limits.CPUCores/4)
}
