package caproxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestProxyAppliesLinkFaults checks under which link faults an echo returns
// through a proxy.
func TestProxyAppliesLinkFaults(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := New("127.0.0.1:0", echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	for fault, want := range map[LinkFault]bool{
		LinkNone: true, LinkDelayed: true, LinkReset: false, LinkOneWay: false, LinkSilent: false,
	} {
		p.SetFault(fault)
		if got := echoReturns(t, p.Address()); got != want {
			t.Errorf("echo returned under %v: %v, want %v", fault, got, want)
		}
	}
}

func echoReturns(t *testing.T, address string) bool {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write([]byte("a")); err != nil {
		return false
	}
	var b [1]byte
	_, err = io.ReadFull(c, b[:])
	return err == nil
}
