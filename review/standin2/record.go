//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// printf writes a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.at(time.Now(), format, args...)
}

// at writes a line with the time of an event.
func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", t.Sub(r.start).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", args...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
