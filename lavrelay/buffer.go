package lavrelay

import (
	"io"

	"lavenderrack.example/lavenderrack/lavpressure"
	"lavenderrack.example/lavenderrack/lavresponse"
)

const (
	// maxBufferedBytes is how much of a response is read before any of it is forwarded. A
	// response that is not larger can be replaced if it turns out to be incomplete.
	maxBufferedBytes = 8 << 20
	// freeBufferBytes is how much of each response is buffered in any case.
	freeBufferBytes = 64 << 10
	// shortBufferBytes is how much of a response is buffered in any case while memory is
	// short.
	shortBufferBytes = 4 << 10
	// maxTotalBuffered is how much all responses together may buffer beyond that.
	maxTotalBuffered = 24 << 20
)

// countedReader counts the bytes that it reads in a hold.
type countedReader struct {
	io.Reader
	hold  *lavpressure.Hold
	count int64
}

// Read implements io.Reader.
func (c *countedReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.count += int64(n)
	c.hold.Add(int64(n))
	return n, err
}

// release ends the count.
func (c *countedReader) release() {
	c.hold.Add(-c.count)
	c.count = 0
}

// bufferResponse reads a response like readBuffered, as far as the hold of the call allows.
func (t *task) bufferResponse(response io.Reader) (body []byte, release func(), err error) {
	counted := &countedReader{Reader: response, hold: t.call.Hold}
	first := freeBufferBytes
	if t.call.Hold.Short() {
		first = shortBufferBytes
	}
	body, _, err = lavresponse.ReadBlocks(counted, first, maxBufferedBytes, t.call.Hold.MayBuffer)
	return body, counted.release, err
}

// readBuffered reads a response up to maxBufferedBytes, or until the buffered bytes are used
// up. The caller must call release once it no longer needs the bytes.
func (r *Relay) readBuffered(response io.Reader) (body []byte, release func(), err error) {
	taken := int64(0)
	release = func() { r.buffers.Add(taken) }
	body, _, err = lavresponse.ReadBlocks(response, freeBufferBytes, maxBufferedBytes, func(n int64) bool {
		if !r.buffers.Take(n) {
			return false
		}
		taken += n
		return true
	})
	return body, release, err
}
