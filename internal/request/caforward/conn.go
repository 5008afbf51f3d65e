package caforward

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes written to a connection. An unchanged count
// proves that no part of a request has reached the upstream.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. It counts before it writes, because a failed write
// may have sent bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
