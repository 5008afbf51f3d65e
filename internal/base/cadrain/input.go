package cadrain

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasInput reports whether a connection has bytes to read, or its end. It does not wait, and reports false for
// connections without a socket.
func hasInput(source any) bool {
	found := false
	withSocket(source, func(fd int) { found = isReadable(fd) })
	return found
}

// shutIfEmpty shuts down a listener if no connection is in its queue, and reports whether that is so. Nothing is
// to come between the look and the end: connections in the queue are reset then.
func shutIfEmpty(lis any) bool {
	isEmpty := true
	withSocket(lis, func(fd int) {
		isEmpty = !isReadable(fd)
		if isEmpty {
			// Where listeners can't be shut down, their Close ends them.
			_ = unix.Shutdown(fd, unix.SHUT_RD)
		}
	})
	return isEmpty
}

// withSocket calls f with the file descriptor of a connection or a listener, if it has one and is open.
func withSocket(source any, f func(fd int)) {
	socket, ok := source.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the socket is closed; f is not called then.
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

func isReadable(fd int) bool {
	sources := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	ready, err := unix.Poll(sources, 0)
	return err == nil && ready > 0
}
