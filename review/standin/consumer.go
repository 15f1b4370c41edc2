//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// consumerDeadline is how long consumers wait for an answer.
const consumerDeadline = 1500 * time.Millisecond

// answer is what a consumer got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

// client is the HTTP client of consumers. Each request has a channel of its own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// send sends one request to a host and returns the answer.
func (d *deployment) send(ctx context.Context, h *host, path, body string) (string, answer) {
	id := newID("")
	ctx, cancel := context.WithTimeout(ctx, consumerDeadline)
	defer cancel()
	d.record.add("consumer sends request %s to host %s, path %s", id, h.name, path)
	a := d.exchange(ctx, h, id, path, body)
	d.record.add("consumer has answer to request %s: status %d, stamp %q, error %v", id, a.status, a.stamp, a.err)
	return id, a
}

func (d *deployment) exchange(ctx context.Context, h *host, id, path, body string) answer {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.at(portFront).String()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = hostName
	r.Header.Set(wire.RequestID, id)
	r.Header.Set(wire.Deadline, strconv.FormatInt(consumerDeadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set(headerVia, h.name)
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get(wire.Stamp), body: string(text), err: err}
}

// errNoAddress means that a consumer doesn't know where to send a request.
var errNoAddress = errors.New("no directory has answered")

// resolve asks a directory which hosts take consumers.
func (d *deployment) resolve(ctx context.Context) ([]*host, error) {
	for _, i := range rand.Perm(len(d.hosts))[:seedHosts] {
		addresses, err := d.ask(ctx, d.hosts[i])
		if err != nil {
			continue
		}
		var named []*host
		for _, h := range d.hosts {
			for _, address := range addresses {
				if address == h.at(portFront).String() {
					named = append(named, h)
				}
			}
		}
		if len(named) > 0 {
			return named, nil
		}
	}
	return nil, errNoAddress
}

func (d *deployment) ask(ctx context.Context, h *host) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	url := "http://" + h.at(portDirectory).String() + wire.PathResolve + "?name=" + hostName + "&region=khomas&zone=" + h.zone
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	return body.Addresses, err
}

// traffic sends requests at a rate until the context ends, each to a random host that a directory
// names.
func (d *deployment) traffic(ctx context.Context, perSecond float64, path string, seen func(id string, a answer)) *sync.WaitGroup {
	var sending sync.WaitGroup
	sending.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			if pause(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second))) != nil {
				return
			}
			hosts, err := d.resolve(ctx)
			if err != nil {
				continue
			}
			h := hosts[rand.IntN(len(hosts))]
			sending.Go(func() {
				id, a := d.send(context.WithoutCancel(ctx), h, path+strconv.Itoa(n), "order "+newID(""))
				if seen != nil {
					seen(id, a)
				}
			})
		}
	})
	return &sending
}
