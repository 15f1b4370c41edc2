package lavfakenet

import (
	"net"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	local, remote addr

	once                        sync.Once
	readDeadline, writeDeadline *deadline
}

func (c *conn) initDeadlines() {
	c.once.Do(func() { c.readDeadline, c.writeDeadline = newDeadline(), newDeadline() })
}

// Read implements net.Conn.
func (c *conn) Read(buf []byte) (int, error) {
	c.initDeadlines()
	return c.in.read(buf, c.readDeadline)
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.initDeadlines()
	return c.out.write(data, c.writeDeadline)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.out.closeWrite()
	c.in.closeRead()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.initDeadlines()
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.initDeadlines()
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.initDeadlines()
	c.writeDeadline.set(t)
	return nil
}
