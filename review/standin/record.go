//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happened, with the time since the start in seconds.
type record struct {
	start time.Time

	mu  sync.Mutex
	f   *os.File
	out *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), f: f, out: bufio.NewWriter(f)}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as the record shows it.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.f.Close()
}
