package casoak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

//go:generate go tool enumer -type=LinkFault -trimprefix=Link -transform=snake -output=linkfault_names.go

// LinkFault is what a proxy does to the connections that it carries.
type LinkFault int

// The faults of a link.
const (
	LinkNone LinkFault = iota
	// LinkDelayed holds all bytes back for linkDelay.
	LinkDelayed
	// LinkReset ends connections with a reset, and each new one.
	LinkReset
	// LinkOneWay drops what the called side sends.
	LinkOneWay
	// LinkSilent drops what both sides send.
	LinkSilent
)

const (
	// linkDelay is by how much LinkDelayed holds bytes back.
	linkDelay = 250 * time.Millisecond
	// readBufferBytes is the size of a read from a connection, in bytes.
	readBufferBytes = 32 << 10
)

// Proxy carries connections on loopback to one target, and injures them.
type Proxy struct {
	lis    net.Listener
	target string

	// callerBytes counts the bytes that callers sent.
	callerBytes atomic.Int64

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]struct{}
	done  chan struct{}
}

// NewProxy listens on the address and carries connections to the target.
func NewProxy(address, target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{lis: lis, target: target, conns: make(map[net.Conn]struct{}), done: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.lis.Addr().String() }

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.lis.Close()
	<-p.done
	p.resetConns()
}

// SetFault injures all connections from now on, or heals the link. What was
// dropped is lost: a connection that lost bytes is reset when the link heals.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	before := p.fault
	p.fault = f
	p.mu.Unlock()
	if f == LinkReset || before == LinkOneWay || before == LinkSilent {
		p.resetConns()
	}
}

func (p *Proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConns ends all connections with a reset.
func (p *Proxy) resetConns() {
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

// copyDirection carries one way of a connection. Its bytes are dropped under LinkSilent
// and under the other fault that is given.
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
