package lavfakenet

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// windowBytes bounds what is on its way in one direction.
const windowBytes = 1 << 20

// packet is a piece of data with the time at which it arrives.
type packet struct {
	data    []byte
	arrives time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to HostInfo

	mu      sync.Mutex
	packets []packet
	bytes   int
	held    bool
	silent  bool
	// ended is what the reader gets after the last packet.
	ended error
	// broken is what both sides get at once.
	broken error
	// hungUp is true once the reader has closed its end.
	hungUp bool
	// changed is closed at the next change, if anyone waits for it.
	changed chan struct{}
	waiting bool
}

func newPipe(n *Network, from, to HostInfo) *pipe {
	return &pipe{network: n, from: from, to: to, changed: make(chan struct{})}
}

// wake tells the waiting sides of a change. The caller holds the lock.
func (p *pipe) wake() {
	if !p.waiting {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.waiting = false
}

// change returns a channel that is closed at the next change. The caller holds
// the lock.
func (p *pipe) change() <-chan struct{} {
	p.waiting = true
	return p.changed
}

func (p *pipe) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.wake()
}

func (p *pipe) fail(err error) { p.update(func() { p.broken = err }) }

// hangUp is what the reader does as it closes its end: nobody reads any more.
func (p *pipe) hangUp() {
	p.update(func() {
		p.hungUp = true
		p.packets, p.bytes = nil, 0
	})
	p.network.forget(p)
}

func (p *pipe) hold(held bool) { p.update(func() { p.held = held }) }

func (p *pipe) silence() { p.update(func() { p.silent = true }) }

// end lets the reader see what was sent and then io.EOF.
func (p *pipe) end() {
	held := false
	p.update(func() {
		if p.ended == nil {
			p.ended = io.EOF
		}
		held = p.held
	})
	// What a cut holds up arrives once it is mended, the end too.
	if !held {
		p.network.forget(p)
	}
}

// write queues data, waiting while the window is full.
func (p *pipe) write(data []byte, deadline *deadline) (int, error) {
	delay := p.network.delay(p.from, p.to)
	for {
		p.mu.Lock()
		switch {
		case p.broken != nil:
			defer p.mu.Unlock()
			return 0, p.broken
		case p.ended != nil:
			defer p.mu.Unlock()
			return 0, net.ErrClosed
		case p.hungUp && !p.silent && !p.held:
			defer p.mu.Unlock()
			return 0, errReset
		case p.bytes < windowBytes:
			defer p.mu.Unlock()
			p.queue(data, delay)
			return len(data), nil
		}
		changed := p.change()
		p.mu.Unlock()
		if err := deadline.wait(changed, nil); err != nil {
			return 0, err
		}
	}
}

// queue appends data that arrives no earlier than what came before. Data that
// arrives at the same time is one packet, so that a long body costs few of
// them.
func (p *pipe) queue(data []byte, delay time.Duration) {
	arrives := time.Now().Add(delay)
	p.bytes += len(data)
	if n := len(p.packets); n > 0 && !p.packets[n-1].arrives.Before(arrives) {
		p.packets[n-1].data = append(p.packets[n-1].data, data...)
		return
	}
	p.packets = append(p.packets, packet{data: slices.Clone(data), arrives: arrives})
	p.wake()
}

// read takes data that has arrived, waiting for some.
func (p *pipe) read(buf []byte, deadline *deadline) (int, error) {
	for {
		if err := deadline.expired(); err != nil {
			return 0, err
		}
		p.mu.Lock()
		if p.hungUp {
			defer p.mu.Unlock()
			return 0, net.ErrClosed
		}
		if p.broken != nil {
			defer p.mu.Unlock()
			return 0, p.broken
		}
		var arrival <-chan time.Time
		var timer *time.Timer
		switch {
		case p.held || p.silent:
		case len(p.packets) > 0:
			wait := time.Until(p.packets[0].arrives)
			if wait <= 0 {
				defer p.mu.Unlock()
				return p.take(buf), nil
			}
			timer = time.NewTimer(wait)
			arrival = timer.C
		case p.ended != nil:
			defer p.mu.Unlock()
			return 0, p.ended
		}
		changed := p.change()
		p.mu.Unlock()
		err := deadline.wait(changed, arrival)
		if timer != nil {
			timer.Stop()
		}
		if err != nil {
			return 0, err
		}
	}
}

// take copies from the first packet. The caller holds the lock.
func (p *pipe) take(buf []byte) int {
	n := copy(buf, p.packets[0].data)
	p.packets[0].data = p.packets[0].data[n:]
	if len(p.packets[0].data) == 0 {
		p.packets = slices.Delete(p.packets, 0, 1)
	}
	p.bytes -= n
	p.wake()
	return n
}

// deadline is the read or write deadline of a connection.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{}
}

func newDeadline() *deadline { return &deadline{changed: make(chan struct{})} }

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *deadline) expired() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.at.IsZero() && !time.Now().Before(d.at) {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// wait returns at a change, an arrival or a new deadline, and with an error
// once the deadline has passed.
func (d *deadline) wait(changed <-chan struct{}, arrival <-chan time.Time) error {
	d.mu.Lock()
	at, moved := d.at, d.changed
	d.mu.Unlock()
	var passed <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		passed = timer.C
	}
	select {
	case <-changed:
	case <-arrival:
	case <-moved:
	case <-passed:
	}
	return d.expired()
}
