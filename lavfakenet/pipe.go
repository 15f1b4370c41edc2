package lavfakenet

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// windowBytes limits the bytes in transit in one direction of a connection.
const windowBytes = 1 << 20

// packet is a piece of data with its time of arrival.
type packet struct {
	data      []byte
	arrivesAt time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	network  *Network
	from, to HostInfo

	mu          sync.Mutex
	packets     []packet
	queuedBytes int
	partitioned bool
	blackholed  bool
	// endError is the error that the reader gets after the last packet. It is
	// set when the writer closes its end.
	endError error
	// abortError is the error that both sides get at once, before any data in
	// transit.
	abortError error
	// readClosed is true after the reader has closed its end.
	readClosed bool
	// changed is closed at the next state change if hasWaiters is true.
	changed    chan struct{}
	hasWaiters bool
}

func newPipe(n *Network, from, to HostInfo) *pipe {
	return &pipe{network: n, from: from, to: to, changed: make(chan struct{})}
}

// notify wakes up the goroutines that wait for a state change. The caller holds
// the lock.
func (p *pipe) notify() {
	if !p.hasWaiters {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.hasWaiters = false
}

// nextChange returns a channel that is closed at the next state change. The
// caller holds the lock.
func (p *pipe) nextChange() <-chan struct{} {
	p.hasWaiters = true
	return p.changed
}

func (p *pipe) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	p.notify()
}

func (p *pipe) abort(err error) { p.update(func() { p.abortError = err }) }

// closeRead closes the reader's end and discards the data in transit.
func (p *pipe) closeRead() {
	p.update(func() {
		p.readClosed = true
		p.packets, p.queuedBytes = nil, 0
	})
	p.network.removePipe(p)
}

func (p *pipe) setPartitioned(partitioned bool) { p.update(func() { p.partitioned = partitioned }) }

func (p *pipe) blackhole() { p.update(func() { p.blackholed = true }) }

// closeWrite closes the writer's end. The reader gets the data in transit and
// then io.EOF.
func (p *pipe) closeWrite() {
	partitioned := false
	p.update(func() {
		if p.endError == nil {
			p.endError = io.EOF
		}
		partitioned = p.partitioned
	})
	// A partitioned pipe stays registered with the network, because its data
	// and the end of the stream must arrive after the partition ends.
	if !partitioned {
		p.network.removePipe(p)
	}
}

// write enqueues data. It blocks while the window is full.
func (p *pipe) write(data []byte, deadline *deadline) (int, error) {
	delay := p.network.packetDelay(p.from, p.to)
	for {
		p.mu.Lock()
		switch {
		case p.abortError != nil:
			defer p.mu.Unlock()
			return 0, p.abortError
		case p.endError != nil:
			defer p.mu.Unlock()
			return 0, net.ErrClosed
		case p.readClosed && !p.blackholed && !p.partitioned:
			defer p.mu.Unlock()
			return 0, errReset
		case p.queuedBytes < windowBytes:
			defer p.mu.Unlock()
			p.enqueue(data, delay)
			return len(data), nil
		}
		changed := p.nextChange()
		p.mu.Unlock()
		if err := deadline.wait(changed, nil); err != nil {
			return 0, err
		}
	}
}

// enqueue appends data, which arrives no earlier than the data before it. If
// the previous packet arrives at the same time or later, the data is appended
// to that packet, so that a long body needs few packets.
func (p *pipe) enqueue(data []byte, delay time.Duration) {
	arrivesAt := time.Now().Add(delay)
	p.queuedBytes += len(data)
	if n := len(p.packets); n > 0 && !p.packets[n-1].arrivesAt.Before(arrivesAt) {
		p.packets[n-1].data = append(p.packets[n-1].data, data...)
		return
	}
	p.packets = append(p.packets, packet{data: slices.Clone(data), arrivesAt: arrivesAt})
	p.notify()
}

// read returns data that has arrived. It blocks until some has.
func (p *pipe) read(buf []byte, deadline *deadline) (int, error) {
	for {
		if err := deadline.expired(); err != nil {
			return 0, err
		}
		p.mu.Lock()
		if p.readClosed {
			defer p.mu.Unlock()
			return 0, net.ErrClosed
		}
		if p.abortError != nil {
			defer p.mu.Unlock()
			return 0, p.abortError
		}
		var arrival <-chan time.Time
		var timer *time.Timer
		switch {
		case p.partitioned || p.blackholed:
		case len(p.packets) > 0:
			wait := time.Until(p.packets[0].arrivesAt)
			if wait <= 0 {
				defer p.mu.Unlock()
				return p.dequeue(buf), nil
			}
			timer = time.NewTimer(wait)
			arrival = timer.C
		case p.endError != nil:
			defer p.mu.Unlock()
			return 0, p.endError
		}
		changed := p.nextChange()
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

// dequeue copies data from the first packet. The caller holds the lock.
func (p *pipe) dequeue(buf []byte) int {
	n := copy(buf, p.packets[0].data)
	p.packets[0].data = p.packets[0].data[n:]
	if len(p.packets[0].data) == 0 {
		p.packets = slices.Delete(p.packets, 0, 1)
	}
	p.queuedBytes -= n
	p.notify()
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

// wait returns when changed closes, when arrival fires or when the deadline is
// set to a new time. It returns an error if the deadline has passed.
func (d *deadline) wait(changed <-chan struct{}, arrival <-chan time.Time) error {
	d.mu.Lock()
	at, deadlineChanged := d.at, d.changed
	d.mu.Unlock()
	var deadlinePassed <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		deadlinePassed = timer.C
	}
	select {
	case <-changed:
	case <-arrival:
	case <-deadlineChanged:
	case <-deadlinePassed:
	}
	return d.expired()
}
