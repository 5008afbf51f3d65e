package cadrain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/catimer"
)

// busyListener has no deadlines, and its Accept ends only when it is released, as that of a listener to which
// connections come without a pause.
type busyListener struct {
	net.Listener
	released chan struct{}
}

func (l busyListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		<-l.released
	}
	return accepted, err
}

// TestStopCancelsCallsWhileListenerIsBusy guards against calls that are canceled too late to be answered, or never,
// and are not reported, where a listener takes long to close.
func TestStopCancelsCallsWhileListenerIsBusy(t *testing.T) {
	errStop := errors.New("the server is stopping")
	started, canceled, answer := make(chan struct{}), make(chan error, 1), make(chan struct{})
	server := NewServer(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		canceled <- context.Cause(r.Context())
		<-answer
	})}, catimer.NewService())
	lis := busyListener{Listener: newLoopbackListener(t), released: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(lis) }()
	caller := dial(t, lis)
	if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: test\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	report, err := server.Stop(ctx, 50*time.Millisecond, errStop)
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("stop: %v", err)
	}
	if diff := cmp.Diff(Report{Canceled: 1, Unanswered: 1}, report); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
	select {
	case err := <-canceled:
		if !errors.Is(err, errStop) {
			t.Errorf("cause of the end of the call: %v", err)
		}
	default:
		t.Error("the call was not canceled")
	}
	close(answer)
	close(lis.released)
	_ = server.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
