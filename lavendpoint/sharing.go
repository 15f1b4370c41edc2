package lavendpoint

import (
	"math/rand/v2"
	"time"
)

// Sharing divides the polling of endpoints among the hosts.
type Sharing interface {
	// Owns reports whether this host polls the endpoint on behalf of all hosts.
	Owns(endpoint string) bool
	// Hosts returns the number of hosts. Rank returns this host's rank in the
	// selection of host list readers. The hosts with the lowest ranks read the
	// host list most often.
	Hosts() int
	Rank() int
	// Broadcast sends a batch to every other host.
	Broadcast(b UpdateBatch)
}

// Intervals and limits of shared polling.
const (
	// batchIntervalPerHost is the time between two batches of one host, multiplied
	// by the number of hosts. It keeps the total rate of batches in the fleet
	// constant.
	batchIntervalPerHost = 12 * time.Millisecond
	// loadSendDelay is the time from the start of a polling round to the sending of
	// its loads. Most polls have returned by then.
	loadSendDelay = 25 * time.Millisecond
	// maxMissedBatches is the number of batches of an owner that may be missed before
	// other hosts poll its endpoints. fallbackPollInterval is the time between two
	// such polls.
	maxMissedBatches     = 3
	fallbackPollInterval = 2 * time.Second
	// maxFailedPolls is the number of failed polls after which an owner reports an
	// endpoint as dead.
	maxFailedPolls = 3
	// hostListReaders is the number of hosts that read the host list once per
	// readerListInterval. All other hosts read it once per fallbackListInterval, in
	// case these readers fail.
	hostListReaders      = 3
	readerListInterval   = time.Second
	fallbackListInterval = 20 * time.Second
)

// SetSharing makes the table poll only the endpoints that this host owns and accept
// batches for the others. It must be called before Serve.
func (t *Table) SetSharing(s Sharing) { t.sharing = s }

// batchInterval returns the time between two batches with load updates.
func (t *Table) batchInterval() time.Duration {
	return max(pollInterval, time.Duration(t.sharing.Hosts())*batchIntervalPerHost)
}

// silenceLimit returns the maximum age of a report before the endpoint counts as
// silent. It is shorter for an endpoint that this host polls itself, because no
// batches or fallback polls have to be waited for.
func (t *Table) silenceLimit(name string) time.Duration {
	if t.sharing == nil || t.sharing.Owns(name) {
		return silenceTimeout
	}
	return maxMissedBatches*t.batchInterval() + 2*fallbackPollInterval + pollTimeout
}

// shouldPoll reports whether this host polls the endpoint at time now, either as
// its owner or because its owner is silent. The caller holds t.mu.
func (t *Table) shouldPoll(name string, now time.Time) bool {
	if t.sharing == nil || t.sharing.Owns(name) {
		return true
	}
	last := t.reports[name]
	if last.report.Incarnation != "" && now.Sub(last.polledAt) < maxMissedBatches*t.batchInterval()+time.Second {
		return false
	}
	if now.Sub(t.lastPolled[name]) < fallbackPollInterval {
		return false
	}
	// Jitter delays the next poll, so that hosts that detect the silence at the
	// same time don't keep polling at the same time.
	t.lastPolled[name] = now.Add(rand.N(fallbackPollInterval / 2))
	return true
}

// sendBatch broadcasts changes of the endpoints that this host owns. A change of a
// report's static part or of the dead state is sent at once as a full report. Load
// updates are sent once per batchInterval, when loadsDue is true.
func (t *Table) sendBatch(now time.Time, loadsDue bool) {
	if t.sharing == nil {
		return
	}
	state := t.releases.State()
	t.mu.Lock()
	batch := UpdateBatch{Release: state.Version, Hosts: t.pendingHostChanges, Sent: now.UnixMilli()}
	t.pendingHostChanges = nil
	withLoads := loadsDue && now.Sub(t.loadsSentAt) >= t.batchInterval()-loadSendDelay
	for i := range state.Endpoints {
		name := state.Endpoints[i].Name
		current, ok := t.reports[name]
		if !ok || !t.sharing.Owns(name) {
			delete(t.sentReports, name)
			continue
		}
		last, sent := t.sentReports[name]
		if !sent || last.dead != current.dead || !sameStaticPart(&last.report, &current.report) {
			batch.Full = append(batch.Full, newFullReport(name, current, now))
			t.sentReports[name] = current
			continue
		}
		if withLoads && !current.dead {
			batch.Loads = append(batch.Loads, newLoadUpdate(i, &current.report, now))
			batch.PollAges = append(batch.PollAges, uint32(now.Sub(current.polledAt).Milliseconds()))
		}
	}
	if withLoads {
		t.loadsSentAt = now
	}
	t.mu.Unlock()
	if len(batch.Loads)+len(batch.Full)+len(batch.Hosts) > 0 {
		t.sharing.Broadcast(batch)
	}
}

// ApplyBatch applies a batch that another host has sent. It wakes Serve to rebuild
// the snapshot if the batch holds more than load updates.
func (t *Table) ApplyBatch(batch UpdateBatch, now time.Time) {
	state := t.releases.State()
	sent := now.Add(-batch.transitTime(now))
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range batch.Full {
		f.Report.Taken = now.Add(-f.Age)
		if t.sharing == nil || !t.sharing.Owns(f.Name) {
			t.reports[f.Name] = polledReport{report: f.Report, polledAt: sent.Add(-f.PollAge), dead: f.Dead}
		}
	}
	for _, c := range batch.Hosts {
		t.setHostEntry(c)
	}
	if batch.Release == state.Version {
		t.applyLoads(batch, now, sent)
	}
	if len(batch.Full)+len(batch.Hosts) > 0 {
		t.wakeServe()
	}
}

func (t *Table) applyLoads(batch UpdateBatch, now, sent time.Time) {
	state := t.releases.State()
	for i, l := range batch.Loads {
		if l.Index < 0 || l.Index >= len(state.Endpoints) {
			continue
		}
		name := state.Endpoints[l.Index].Name
		last := t.reports[name]
		if last.report.Incarnation == "" || staticDigest(&last.report) != l.Kind {
			t.recordMissedReport(name, l.Kind, now)
			continue
		}
		delete(t.missed, name)
		t.reports[name] = polledReport{report: l.applyTo(last.report, now), polledAt: sent.Add(-batch.pollAge(i))}
	}
}

// recordMissedReport records that this host has missed the full report with the digest
// kind, and makes it poll the endpoint itself. The first load that shows this brings the
// poll forward, whenever the last one was: the endpoint may have turned cold. The delay
// is random, because many hosts may have missed the same report. The caller holds t.mu.
func (t *Table) recordMissedReport(name string, kind uint32, now time.Time) {
	last := t.reports[name]
	last.polledAt = time.Time{}
	t.reports[name] = last
	if t.missed[name] == kind {
		return
	}
	t.missed[name] = kind
	due := now.Add(rand.N(pollInterval))
	if earliest := t.lastPolled[name].Add(fallbackPollInterval); due.Before(earliest) {
		t.lastPolled[name] = due.Add(-fallbackPollInterval)
	}
}
