package lavdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"lavenderrack.example/lavenderrack/lavpause"

	"github.com/cockroachdb/errors"
)

// Time limits of the phases before and after the load, and the interval of
// progress lines.
const (
	fleetReadyTimeout = 12 * time.Second
	quiescenceTimeout = 8 * time.Second
	progressInterval  = 3 * time.Second
)

// demo is the state of one run.
type demo struct {
	options    Options
	startedAt  time.Time
	platform   *platform
	entryHosts []*entryHost
	watcher    *releaseWatcher
	operator   *operator
	collector  *reportCollector
	transport  *recordingTransport
	// background waits for the goroutines that run beside the script.
	background sync.WaitGroup

	// progressMu keeps progress lines of different goroutines apart.
	progressMu sync.Mutex
}

// Run runs the demo and returns its report. It returns an error if the fleet
// does not start, or if the script stops at a step that fails.
func Run(ctx context.Context, options Options) (*Report, error) {
	d := &demo{options: options, startedAt: time.Now(), collector: newReportCollector(options.Seed)}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	return d.runLoadAndScript(ctx)
}

// start starts the platform and the entry hosts, publishes the first release
// and waits until all entry hosts are ready.
func (d *demo) start(ctx context.Context) error {
	var err error
	if d.platform, err = startPlatform(ctx); err != nil {
		return err
	}
	for i := range entryHostCount {
		host, err := newEntryHost(ctx, i, d.platform)
		if err != nil {
			return err
		}
		host.start(ctx)
		d.entryHosts = append(d.entryHosts, host)
	}
	d.transport = newRecordingTransport(d.isStopping)
	d.watcher = newReleaseWatcher(d.entryHosts)
	d.operator = newOperator(d.platform, d.watcher)
	d.writeProgress("%d entry hosts, %d engines and %d order servers started", entryHostCount, engineCount, orderServerCount)
	if _, err := d.operator.publish(ctx, fleetNote(d.platform, d.entryHosts)); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// isStopping reports whether the entry host that listens on addr is in a
// planned restart.
func (d *demo) isStopping(addr netip.AddrPort) bool {
	for _, host := range d.entryHosts {
		if host.settings.Entry == addr {
			return host.stopping.Load()
		}
	}
	return false
}

// awaitReady waits until every entry host is ready.
func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetReadyTimeout)
	defer cancel()
	for _, e := range d.entryHosts {
		if !awaitHostReady(ctx, e) {
			return errors.Newf("entry host %s did not become ready before the start timeout", e.settings.Host)
		}
	}
	return nil
}

// runLoadAndScript runs the load and the script at the same time, waits for
// quiescence and returns the report.
func (d *demo) runLoadAndScript(ctx context.Context) (*Report, error) {
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	d.background.Go(func() { d.watcher.run(backgroundCtx) })
	d.background.Go(func() { d.reportProgress(backgroundCtx) })

	generator := newLoadGenerator(d.options.Seed, d.collector, d.transport, entryAddrs(d.entryHosts))
	loadCtx, stopLoad := context.WithTimeout(ctx, d.options.Duration)
	defer stopLoad()
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		generator.run(loadCtx, rand.New(rand.NewPCG(d.options.Seed, 2)))
	}()
	s := newScript(d, rand.New(rand.NewPCG(d.options.Seed, 3)))
	err := s.run(ctx, d.options.Duration)
	<-loadDone
	d.writeProgress("load generation ended")
	d.awaitQuiescence(ctx)
	stopBackground()
	d.background.Wait()
	if err != nil {
		return nil, err
	}
	d.fillReport(s, time.Now())
	return d.collector.finish(), nil
}

// entryAddrs returns the addresses on which the entry hosts accept requests.
func entryAddrs(hosts []*entryHost) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, e := range hosts {
		addrs = append(addrs, e.settings.Entry)
	}
	return addrs
}

// awaitQuiescence waits until no stream or reservation holds KV cache memory
// and every release is in force at all entry hosts, for at most
// quiescenceTimeout.
func (d *demo) awaitQuiescence(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quiescenceTimeout)
	defer cancel()
	for ctx.Err() == nil && (d.countKVCacheHolders() > 0 || !d.watcher.allInForceEverywhere()) {
		time.Sleep(pollInterval)
	}
}

// countKVCacheHolders returns the number of running streams and of
// reservations that hold KV cache memory in the engines.
func (d *demo) countKVCacheHolders() int {
	holders := 0
	for _, e := range d.platform.engines {
		holders += e.fake.RunningStreams() + e.fake.ReservationCount()
	}
	return holders
}

// reportProgress writes the request counts every progressInterval until the
// context ends.
func (d *demo) reportProgress(ctx context.Context) {
	_ = lavpause.Every(ctx, progressInterval, func() {
		admitted, answered, refused := d.collector.progress()
		d.writeProgress("admitted %d, answered %d, refused %d", admitted, answered, refused)
	})
}

// writeProgress writes one progress line, prefixed with the seconds since the
// start.
func (d *demo) writeProgress(format string, args ...any) {
	d.progressMu.Lock()
	defer d.progressMu.Unlock()
	// Progress lines are optional, so the run continues if a write fails.
	_, _ = fmt.Fprintf(d.options.Progress, "%5.1f s  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// close lists all endpoint hosts as live, stops the entry hosts, and then closes
// the platform.
func (d *demo) close() {
	if d.platform != nil {
		d.platform.publishHostList("")
	}
	for _, e := range d.entryHosts {
		e.stopWithTimeout()
	}
	if d.transport != nil {
		d.transport.base.CloseIdleConnections()
	}
	if d.platform != nil {
		d.platform.close()
	}
}
