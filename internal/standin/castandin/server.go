// Package castandin serves the stand-ins of the platform over HTTP.
package castandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/cahttp"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/platform/cawire"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
	"celeryarch.example/celeryarch/internal/standin/castandup"
	"celeryarch.example/celeryarch/internal/standin/castandvm"
)

// Paths by which tests and operators control the stand-ins.
const (
	PathLogFailure = "/log/v1/set_failure"
	PathVMState    = "/vms/v1/set_state"
	PathVMPut      = "/vms/v1/put"
	PathViolations = "/agent/v1/violations"
)

// readHeaderTimeout bounds the time to read the headers of a call.
const readHeaderTimeout = 5 * time.Second

// SetVMStateCall changes the state of a VM in the list.
type SetVMStateCall struct {
	ID    cawork.VMID        `json:"id"`
	State caplatform.VMState `json:"state"`
}

// LogHandler returns the HTTP handler of the log.
func LogHandler(l *castandlog.Log) http.Handler {
	mux := http.NewServeMux()
	cahttp.HandleLog(mux, l)
	mux.Handle(PathLogFailure, cawire.Handler(func(_ context.Context, f castandlog.Failure) (cahttp.Empty, error) {
		l.SetFailure(f)
		return cahttp.Empty{}, nil
	}))
	return mux
}

// VMListHandler returns the HTTP handler of the list of VMs.
func VMListHandler(v *castandvm.List) http.Handler {
	mux := http.NewServeMux()
	cahttp.HandleVMList(mux, v)
	mux.Handle(PathVMPut, cawire.Handler(func(_ context.Context, vm caplatform.VM) (cahttp.Empty, error) {
		v.Put(vm)
		return cahttp.Empty{}, nil
	}))
	mux.Handle(PathVMState, cawire.Handler(func(_ context.Context, c SetVMStateCall) (cahttp.Empty, error) {
		if !v.SetState(c.ID, c.State) {
			return cahttp.Empty{}, cakind.New(cakind.KindNotFound, "no VM %s is listed", c.ID)
		}
		return cahttp.Empty{}, nil
	}))
	return mux
}

// UpstreamHandler returns the HTTP handler of an upstream.
func UpstreamHandler(u *castandup.Upstream) http.Handler {
	mux := http.NewServeMux()
	cahttp.HandleAgent(mux, u)
	mux.Handle(caplatform.RequestPath, u)
	mux.Handle(PathViolations, cawire.Handler(func(context.Context, cahttp.Empty) (castandup.Violations, error) {
		return u.Violations(), nil
	}))
	return mux
}

// Server serves one handler on one address.
type Server struct {
	lis    net.Listener
	server *http.Server
	done   chan struct{}
}

// NewServer listens on the address.
func NewServer(address string, handler http.Handler) (*Server, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindUnavailable, err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, Protocols: cahttp.ServerProtocols()}
	return &Server{lis: lis, server: server, done: make(chan struct{})}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.lis.Addr().String() }

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	defer close(s.done)
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.lis); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }
