//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Bytes that a faulty server sends in place of an answer. None of them is an answer of a server: that
// has the ID of its request and a stamp.
var wrongBytes = []string{
	"\x16\x03\x01 not an answer\n",
	"HTTP/1.1 200 OK\r\n" + wire.RequestID + ": ",
	"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n",
}

// garbleEvery is that one of so many answers of the faulty server is wrong, as with a share of 0.05.
const garbleEvery = 20

// unstampedSuccess lets one of the servers send wrong bytes in place of some answers.
func unstampedSuccess(ctx context.Context, d *deployment, trouble bool) ([]string, error) {
	var answers atomic.Int64
	garble := func(w http.ResponseWriter, r *http.Request) bool {
		n := answers.Add(1)
		if !trouble || n%garbleEvery != 0 {
			return false
		}
		text := wrongBytes[n/garbleEvery%int64(len(wrongBytes))]
		d.record.add("a server answers request %s with wrong bytes, and doesn't run it: %q", r.Header.Get(wire.RequestID), text)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		_, _ = c.Write([]byte(text))
		_ = c.Close()
		return true
	}
	first := true
	set := func(s *server) {
		if first {
			s.answer = garble
		}
		first = false
	}
	if err := d.prepare(ctx, 3, set); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	trafficCtx, stop := context.WithCancel(ctx)
	defer stop()
	sending := d.traffic(trafficCtx, 20, pathPay, func(id string, a answer) {
		if a.status/100 != 2 || a.err != nil || a.stamp != "" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, fmt.Sprintf("MIXED: request %s got a success without a stamp, with body %q", id, a.body))
	})
	if err := pause(ctx, 30*time.Second); err != nil {
		return nil, err
	}
	stop()
	sending.Wait()
	return broken, nil
}
