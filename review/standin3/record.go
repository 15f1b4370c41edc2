//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the drill.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file}, nil
}

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line and prints it.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}
