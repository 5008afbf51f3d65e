// Package capeer sends typed messages between entries over drpc, encoded with
// CBOR, and preserves the kind of an error across the call.
package capeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"

	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

const (
	// connectionsPerPeer limits the idle connections to one peer.
	connectionsPerPeer = 8
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = time.Minute
	// dialTimeout limits the setup of a connection, including TLS and greetings.
	dialTimeout = 2 * time.Second
	// codeOffset is added to a kind, since drpc uses the code 0 for errors
	// without a code.
	codeOffset = 1
)

type handler func(stream drpc.Stream) error

// CallType is the name of a call and the types of its request and reply.
type CallType struct {
	Name    string
	In, Out reflect.Type
}

// Server handles calls from peers.
type Server struct {
	// Log records panics of handlers. The zero value discards them.
	Log       zerolog.Logger
	handlers  map[string]handler
	callTypes []CallType
	greeter   *greeter
	done      chan struct{}
}

// NewServer returns a server without handlers.
func NewServer() *Server {
	return &Server{handlers: make(map[string]handler), done: make(chan struct{})}
}

// Handle adds a handler for the call of this name. It must be called before
// Serve.
func Handle[In, Out any](s *Server, name string, call func(ctx context.Context, in In) (Out, error)) {
	s.callTypes = append(s.callTypes, CallType{Name: name, In: reflect.TypeFor[In](), Out: reflect.TypeFor[Out]()})
	s.handlers[name] = func(stream drpc.Stream) error {
		var in In
		if err := stream.MsgRecv(&in, Encoding{}); err != nil {
			return withCode(cakind.Wrap(cakind.KindInvalid, err, "decode call %s", name))
		}
		out, err := call(stream.Context(), in)
		if err != nil {
			return withCode(err)
		}
		return stream.MsgSend(&out, Encoding{})
	}
}

// CallTypes returns the calls that have a handler.
func (s *Server) CallTypes() []CallType { return slices.Clone(s.callTypes) }

func withCode(err error) error {
	return drpcerr.WithCode(err, uint64(cakind.Of(err))+codeOffset)
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if err := s.checkProtocols(stream.Context(), rpc); err != nil {
		return withCode(err)
	}
	h, ok := s.handlers[rpc]
	if !ok {
		return withCode(cakind.New(cakind.KindNotFound, "no such call %q", rpc))
	}
	err := caguard.Do(s.Log, rpc, func() error { return h(stream) })
	if err == nil || drpcerr.Code(err) >= codeOffset {
		return err
	}
	// The handler panicked, or the stream ended.
	return withCode(err)
}

// Serve handles calls on the listener until the context ends. Connections use
// TLS if a configuration is given; its ClientAuth decides which peers are
// accepted.
func (s *Server) Serve(ctx context.Context, lis net.Listener, config *tls.Config) error {
	defer close(s.done)
	if config != nil {
		lis = tls.NewListener(lis, config)
	}
	return drpcserver.NewWithOptions(s, serverOptions()).Serve(ctx, lis)
}

// serverOptions makes a reply and its end leave with one write, when the handler returns.
func serverOptions() drpcserver.Options {
	return drpcserver.Options{Manager: drpcmanager.Options{Stream: drpcstream.Options{ManualFlush: true}}}
}

// Done returns a channel that is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Client calls peers by address.
type Client struct {
	openConn  DialFunc
	config    *tls.Config
	pool      *drpcpool.Pool[string, drpcpool.Conn]
	closeOnce sync.Once
	greeter   *greeter

	mu        sync.Mutex
	greetings map[string]caversion.Greeting
}

// NewClient returns a client that opens connections with dial. It uses TLS unless
// the configuration is nil.
func NewClient(dial DialFunc, config *tls.Config) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: connectionsPerPeer}
	return &Client{
		openConn: dial, config: config, pool: drpcpool.New[string, drpcpool.Conn](options),
		greetings: make(map[string]caversion.Greeting),
	}
}

// Call sends the message to the peer at the address and returns its reply.
// If the message was not sent, the error has KindUnavailable; IsUnreachable reports
// this case. An error of KindUnknown means that the
// peer may have executed the call. Errors returned by the peer keep their kind.
// If the peer shares no protocol with this entry, the error wraps a
// caversion.ProtocolMismatchError.
func Call[In, Out any](ctx context.Context, c *Client, address, name string, in In) (Out, error) {
	var out Out
	conn := c.pool.Get(ctx, address, c.dial)
	defer func() { _ = conn.Close() }()
	var tracker sendTracker
	err := conn.Invoke(c.withProtocols(ctx), name, &tracker, &in, &out)
	switch {
	case err == nil:
		return out, nil
	case !tracker.encoded:
		return out, cakind.Wrap(cakind.KindUnavailable, &unreachableError{err}, "reach peer %s", address)
	case drpcerr.Code(err) >= codeOffset:
		return out, cakind.New(cakind.Kind(drpcerr.Code(err)-codeOffset), "%s", err.Error())
	default:
		return out, cakind.Wrap(cakind.KindUnknown, err, "call %s of peer %s", name, address)
	}
}

// unreachableError is the cause of a call that was never sent.
type unreachableError struct{ cause error }

func (e *unreachableError) Error() string { return e.cause.Error() }
func (e *unreachableError) Unwrap() error { return e.cause }

// IsUnreachable reports whether the call was never sent: no connection to the peer could
// be opened, or the caller's time ended before one was free.
func IsUnreachable(err error) bool {
	var e *unreachableError
	return errors.As(err, &e)
}

// dial opens a connection and exchanges greetings over it.
func (c *Client) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	if err := c.greet(ctx, conn, address); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (c *Client) connect(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := c.openConn(ctx, address)
	if err != nil {
		return nil, err
	}
	if c.config == nil {
		return drpcconn.New(raw), nil
	}
	tlsConn := tls.Client(raw, c.configFor(address))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(tlsConn), nil
}

// configFor returns the TLS configuration for the peer at the address, whose
// certificate must name the host of the address.
func (c *Client) configFor(address string) *tls.Config {
	config := c.config.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = host
	}
	return config
}

// Close closes all idle connections.
func (c *Client) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.pool.Close() })
	return err
}
