package lavdemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of the phases around the load.
const (
	startTimeout  = 12 * time.Second
	settleTimeout = 8 * time.Second
	sayEvery      = 3 * time.Second
)

// demo is one run.
type demo struct {
	options  Options
	began    time.Time
	platform *platform
	entries  []*entry
	watcher  *watcher
	operator *operator
	counter  *counter
	wire     *wire
	// background counts what runs beside the script.
	background sync.WaitGroup

	saying sync.Mutex
}

// Run runs the demo and returns what came of it. It returns an error if the
// fleet could not be started or driven at all.
func Run(ctx context.Context, options Options) (*Report, error) {
	d := &demo{options: options, began: time.Now(), counter: newCounter(options.Seed)}
	defer d.close()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	return d.drive(ctx)
}

func (d *demo) start(ctx context.Context) error {
	var err error
	if d.platform, err = startPlatform(ctx); err != nil {
		return err
	}
	for i := range entryCount {
		e, err := newEntry(ctx, i, d.platform)
		if err != nil {
			return err
		}
		e.start(ctx)
		d.entries = append(d.entries, e)
	}
	d.wire = newWire(d.planned)
	d.watcher = newWatcher(d.entries)
	d.operator = newOperator(d.platform, d.watcher)
	d.say("%d entry hosts, %d engines and %d order servers started", entryCount, engineCount, orderServerCount)
	if _, err := d.operator.publish(ctx, firstNote(d.platform, d.entries)); err != nil {
		return err
	}
	return d.awaitStart(ctx)
}

// planned reports whether the entry host at addr is being stopped by plan.
func (d *demo) planned(addr netip.AddrPort) bool {
	for _, e := range d.entries {
		if e.settings.Entry == addr {
			return e.stopping.Load()
		}
	}
	return false
}

// awaitStart waits until every host is ready.
func (d *demo) awaitStart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, e := range d.entries {
		if !ready(ctx, e) {
			return errors.Newf("entry host %s was not ready in time", e.settings.Host)
		}
	}
	return nil
}

// drive runs the load and the script, then settles and judges.
func (d *demo) drive(ctx context.Context) (*Report, error) {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	d.background.Go(func() { d.watcher.run(watching) })
	d.background.Go(func() { d.report(watching) })

	l := newLoad(d.options.Seed, d.counter, d.wire, seedsOf(d.entries))
	loading, stopLoading := context.WithTimeout(ctx, d.options.Duration)
	defer stopLoading()
	loaded := make(chan struct{})
	go func() {
		defer close(loaded)
		l.run(loading, rand.New(rand.NewPCG(d.options.Seed, 2)))
	}()
	s := newScript(d, rand.New(rand.NewPCG(d.options.Seed, 3)))
	err := s.run(ctx, d.options.Duration)
	<-loaded
	d.say("load ended")
	d.settle(ctx)
	stopWatching()
	d.background.Wait()
	if err != nil {
		return nil, err
	}
	d.judge(s, time.Now())
	return d.counter.finish(), nil
}

func seedsOf(entries []*entry) []netip.AddrPort {
	var seeds []netip.AddrPort
	for _, e := range entries {
		seeds = append(seeds, e.settings.Entry)
	}
	return seeds
}

// settle waits, for a bounded time, until the engines hold nothing any more.
func (d *demo) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for ctx.Err() == nil && (d.held() > 0 || !d.watcher.everywhere()) {
		time.Sleep(watchEvery)
	}
}

// held counts the streams and reservations that hold memory.
func (d *demo) held() int {
	held := 0
	for _, e := range d.platform.engines {
		held += e.fake.RunningStreams() + e.fake.ReservationCount()
	}
	return held
}

// report says from time to time how far the load is.
func (d *demo) report(ctx context.Context) {
	tick := time.NewTicker(sayEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			admitted, answered, refused := d.counter.progress()
			d.say("admitted %d, answered %d, refused %d", admitted, answered, refused)
		}
	}
}

// say writes a line of progress.
func (d *demo) say(format string, args ...any) {
	d.saying.Lock()
	defer d.saying.Unlock()
	// A progress line that can't be written is no reason to stop.
	_, _ = fmt.Fprintf(d.options.Progress, "%5.1f s  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) close() {
	if d.platform != nil {
		d.platform.showHosts("")
	}
	for _, e := range d.entries {
		e.abandon()
	}
	if d.wire != nil {
		d.wire.base.CloseIdleConnections()
	}
	if d.platform != nil {
		d.platform.close()
	}
}
