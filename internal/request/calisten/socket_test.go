package calisten_test

import (
	"net"
	"syscall"
	"testing"

	"celeryarch.example/celeryarch/internal/request/calisten"
)

// TestLimitedListenerHidesSocket guards against servers that can't look into the queue of a limited listener, or
// for input on its connections, when they stop.
func TestLimitedListenerHidesSocket(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer tcp.Close()
	lis := calisten.LimitListener(tcp, 1)
	caller, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	for _, source := range []any{lis, accepted} {
		socket, ok := source.(syscall.Conn)
		if !ok {
			t.Errorf("%T has no socket", source)
			continue
		}
		if _, err := socket.SyscallConn(); err != nil {
			t.Errorf("socket of %T: %v", source, err)
		}
	}
}
