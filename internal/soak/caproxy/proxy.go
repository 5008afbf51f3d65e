// Package caproxy forwards TCP connections on loopback and applies faults of links to them.
package caproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

//go:generate go tool enumer -type=LinkFault -trimprefix=Link -transform=snake -output=linkfault_names.go

// LinkFault is a fault that a proxy applies to its connections.
type LinkFault int

// The faults of a link.
const (
	LinkNone LinkFault = iota
	// LinkDelayed delays all bytes by linkDelay.
	LinkDelayed
	// LinkReset resets open connections and each new one.
	LinkReset
	// LinkOneWay drops the bytes from the target to the caller.
	LinkOneWay
	// LinkSilent drops the bytes of both directions.
	LinkSilent
)

const (
	// linkDelay is the delay of each read under LinkDelayed.
	linkDelay = 250 * time.Millisecond
	// readBufferBytes is the size of the read buffer of one direction.
	readBufferBytes = 32 << 10
)

// Proxy forwards TCP connections to one target and applies link faults to them.
type Proxy struct {
	lis    net.Listener
	target string

	// callerBytes counts the bytes received from callers.
	callerBytes atomic.Int64

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]struct{}
	done  chan struct{}
}

// New listens on the address and forwards connections to the target.
func New(address, target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{lis: lis, target: target, conns: make(map[net.Conn]struct{}), done: make(chan struct{})}
	go p.accept()
	return p, nil
}

// CallerBytes returns the number of bytes received from callers.
func (p *Proxy) CallerBytes() int64 { return p.callerBytes.Load() }

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.lis.Addr().String() }

// Close stops the proxy and resets all its connections.
func (p *Proxy) Close() {
	_ = p.lis.Close()
	<-p.done
	p.ResetConns()
}

// SetFault applies the fault to all connections, or ends the current fault with
// LinkNone. The proxy does not retransmit dropped bytes, so it resets all
// connections when a fault that drops bytes ends.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	before := p.fault
	p.fault = f
	p.mu.Unlock()
	if f == LinkReset || before == LinkOneWay || before == LinkSilent {
		p.ResetConns()
	}
}

func (p *Proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// ResetConns resets all open connections.
func (p *Proxy) ResetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		abort(c)
	}
}

func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	defer close(p.done)
	for {
		callerConn, err := p.lis.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == LinkReset {
			abort(callerConn)
			continue
		}
		go p.forward(callerConn)
	}
}

func (p *Proxy) forward(callerConn net.Conn) {
	targetConn, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(callerConn)
		return
	}
	p.track(callerConn, targetConn)
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(targetConn, callerConn, LinkSilent) })
	directions.Go(func() { p.copyDirection(callerConn, targetConn, LinkOneWay) })
	directions.Wait()
	p.untrack(callerConn, targetConn)
}

func (p *Proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = struct{}{}
	}
}

func (p *Proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

// copyDirection forwards one direction of a connection. It drops the bytes under
// LinkSilent and under dropFault.
func (p *Proxy) copyDirection(to, from net.Conn, dropFault LinkFault) {
	defer abort(to)
	defer abort(from)
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if dropFault == LinkSilent {
				p.callerBytes.Add(int64(n))
			}
			fault := p.currentFault()
			if fault == LinkDelayed {
				time.Sleep(linkDelay)
			}
			if fault != LinkSilent && fault != dropFault {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}
