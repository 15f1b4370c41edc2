package lavendpoint

import (
	"math/rand/v2"
	"time"
)

// Sharing divides the polling of endpoints among the hosts.
type Sharing interface {
	// Owns reports whether this host polls the endpoint for all.
	Owns(endpoint string) bool
	// Hosts is the number of hosts, and Rank this one's place among those that
	// read the host list.
	Hosts() int
	Rank() int
	// Broadcast sends a batch to every other host.
	Broadcast(b UpdateBatch)
}

// Times of sharing.
const (
	// tellPerHost is the time between two batches of one host, for each host
	// of the fleet, so that what all hosts tell together keeps to a rate.
	tellPerHost = 12 * time.Millisecond
	// tellDelay is how long after the begin of a round of polls their loads are
	// told, so that most have come back.
	tellDelay = 25 * time.Millisecond
	// missedTells is how many batches of an owner may be missed before others
	// poll its endpoints, and strangerPoll the time between two such polls.
	missedTells  = 3
	strangerPoll = 2 * time.Second
	// deadPolls is how many polls fail before an owner calls an endpoint dead.
	deadPolls = 3
	// listReaders read the host list each second; the others do so rarely, in
	// case these fail.
	listReaders = 3
	readList    = time.Second
	readRarely  = 20 * time.Second
)

// SetSharing makes the table poll only the endpoints that this host owns, and take
// over what the others tell. It is called before Serve.
func (t *Table) SetSharing(s Sharing) { t.sharing = s }

// tellEvery is the time between two batches.
func (t *Table) tellEvery() time.Duration {
	return max(pollEvery, time.Duration(t.sharing.Hosts())*tellPerHost)
}

// silence is how old a report may be before the endpoint counts as silent. One
// that this host polls itself is heard of soon.
func (t *Table) silence(name string) time.Duration {
	if t.sharing == nil || t.sharing.Owns(name) {
		return deadAfter
	}
	return missedTells*t.tellEvery() + 2*strangerPoll + pollTimeout
}

// wants reports whether this host polls an endpoint at now: as its owner, or
// because its owner is silent. The caller holds the lock.
func (t *Table) wants(name string, now time.Time) bool {
	if t.sharing == nil || t.sharing.Owns(name) {
		return true
	}
	h := t.reports[name]
	if h.report.Incarnation != "" && now.Sub(h.at) < missedTells*t.tellEvery()+time.Second {
		return false
	}
	if now.Sub(t.asked[name]) < strangerPoll {
		return false
	}
	// Hosts that notice at one moment don't all ask at one.
	t.asked[name] = now.Add(rand.N(strangerPoll / 2))
	return true
}

// tell sends what has changed at the endpoints that this host owns: at once
// what matters, and the load from time to time.
func (t *Table) tell(now time.Time, loads bool) {
	if t.sharing == nil {
		return
	}
	state := t.releases.State()
	t.mu.Lock()
	b := UpdateBatch{Release: state.Version, Hosts: t.hostChanges, Sent: now.UnixMilli()}
	t.hostChanges = nil
	withLoads := loads && now.Sub(t.told) >= t.tellEvery()-tellDelay
	for i := range state.Endpoints {
		name := state.Endpoints[i].Name
		h, ok := t.reports[name]
		if !ok || !t.sharing.Owns(name) {
			delete(t.tellings, name)
			continue
		}
		last, before := t.tellings[name]
		if !before || last.dead != h.dead || !sameKind(&last.report, &h.report) {
			b.Full = append(b.Full, fullOf(name, h, now))
			t.tellings[name] = h
			continue
		}
		if withLoads && !h.dead {
			b.Loads = append(b.Loads, loadOf(i, &h.report, now))
			b.Ago = append(b.Ago, uint32(now.Sub(h.at).Milliseconds()))
		}
	}
	if withLoads {
		t.told = now
	}
	t.mu.Unlock()
	if len(b.Loads)+len(b.Full)+len(b.Hosts) > 0 {
		t.sharing.Broadcast(b)
	}
}

// ApplyBatch takes over what another host tells. It reports whether the
// snapshot should be made anew at once.
func (t *Table) ApplyBatch(b UpdateBatch, now time.Time) {
	state := t.releases.State()
	sent := now.Add(-b.travel(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range b.Full {
		f.Report.Taken = now.Add(-f.Age)
		if t.sharing == nil || !t.sharing.Owns(f.Name) {
			t.reports[f.Name] = heard{report: f.Report, at: sent.Add(-f.Ago), dead: f.Dead}
		}
	}
	for _, c := range b.Hosts {
		t.setHost(c)
	}
	if b.Release == state.Version {
		t.hearLoads(b, now, sent)
	}
	if len(b.Full)+len(b.Hosts) > 0 {
		t.wakeUp()
	}
}

func (t *Table) hearLoads(b UpdateBatch, now, sent time.Time) {
	state := t.releases.State()
	for i, l := range b.Loads {
		if l.Index < 0 || l.Index >= len(state.Endpoints) {
			continue
		}
		name := state.Endpoints[l.Index].Name
		h := t.reports[name]
		if h.report.Incarnation == "" || kindOf(&h.report) != l.Kind {
			// Its last whole report was missed: this host asks the endpoint itself.
			h.at = time.Time{}
			t.reports[name] = h
			continue
		}
		t.reports[name] = heard{report: l.onto(h.report, now), at: sent.Add(-b.ago(i))}
	}
}
