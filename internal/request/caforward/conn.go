package caforward

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes that were written to a connection, which
// proves that an upstream has never seen a request.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn. It counts before it writes, so that a failed
// write counts as seen.
func (c *countingConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}
