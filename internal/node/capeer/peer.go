// Package capeer carries typed messages between entries over drpc, encoded
// with CBOR, and keeps the kind of an error on the way.
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
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"celeryarch.example/celeryarch/internal/base/caguard"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

const (
	// connectionsPerPeer bounds the idle connections kept to one peer.
	connectionsPerPeer = 8
	// idleTimeout ends connections that carried nothing for this time.
	idleTimeout = time.Minute
	// dialTimeout bounds the set-up of a connection.
	dialTimeout = 2 * time.Second
	// codeOffset keeps a kind apart from the code 0, which means no code.
	codeOffset = 1
)

type method func(stream drpc.Stream) error

// CallType names a call and the types of its messages.
type CallType struct {
	Name    string
	In, Out reflect.Type
}

// Server answers the calls of peers.
type Server struct {
	// Log takes the panics of calls. The zero value drops them.
	Log     zerolog.Logger
	methods map[string]method
	types   []CallType
	self    *introduction
	done    chan struct{}
}

// NewServer returns a server without methods.
func NewServer() *Server {
	return &Server{methods: make(map[string]method), done: make(chan struct{})}
}

// Handle adds a typed method. All methods are added before Serve.
func Handle[In, Out any](s *Server, name string, call func(ctx context.Context, in In) (Out, error)) {
	s.types = append(s.types, CallType{Name: name, In: reflect.TypeFor[In](), Out: reflect.TypeFor[Out]()})
	s.methods[name] = func(stream drpc.Stream) error {
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

// Types returns the calls that the server answers.
func (s *Server) Types() []CallType { return slices.Clone(s.types) }

func withCode(err error) error {
	return drpcerr.WithCode(err, uint64(cakind.Of(err))+codeOffset)
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	if err := s.checkHeader(stream.Context(), rpc); err != nil {
		return withCode(err)
	}
	m, ok := s.methods[rpc]
	if !ok {
		return withCode(cakind.New(cakind.KindNotFound, "no such call %q", rpc))
	}
	err := caguard.Do(s.Log, rpc, func() error { return m(stream) })
	if err == nil || drpcerr.Code(err) >= codeOffset {
		return err
	}
	// A panic, or a stream that ended.
	return withCode(err)
}

// Serve answers calls on the listener until the context ends. A TLS
// configuration makes it accept only peers that it verifies.
func (s *Server) Serve(ctx context.Context, lis net.Listener, config *tls.Config) error {
	defer close(s.done)
	if config != nil {
		lis = tls.NewListener(lis, config)
	}
	return drpcserver.New(s).Serve(ctx, lis)
}

// Done is closed when the server has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Client calls peers by address.
type Client struct {
	open   Dial
	config *tls.Config
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	once   sync.Once
	self   *introduction

	mu      sync.Mutex
	greeted map[string]caversion.Greeting
}

// NewClient returns a client over the connections that dial opens. A nil TLS
// configuration means plain connections.
func NewClient(dial Dial, config *tls.Config) *Client {
	options := drpcpool.Options{Expiration: idleTimeout, KeyCapacity: connectionsPerPeer}
	return &Client{
		open: dial, config: config, pool: drpcpool.New[string, drpcpool.Conn](options),
		greeted: make(map[string]caversion.Greeting),
	}
}

// Call sends the message to the method of the peer at the address. An error of
// KindUnavailable means that the message was not sent, KindUnknown that its
// effect may have taken place; other kinds come from the peer. A peer that
// speaks no protocol of this entry is a caversion.ForeignError.
func Call[In, Out any](ctx context.Context, c *Client, address, name string, in In) (Out, error) {
	var out Out
	dialed := true
	conn := c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		fresh, err := c.dial(ctx, address)
		dialed = err == nil
		return fresh, err
	})
	defer func() { _ = conn.Close() }()
	err := conn.Invoke(c.withHeader(ctx), name, Encoding{}, &in, &out)
	switch {
	case err == nil:
		return out, nil
	case !dialed:
		return out, cakind.Wrap(cakind.KindUnavailable, &unreachableError{err}, "reach peer %s", address)
	case drpcerr.Code(err) >= codeOffset:
		return out, cakind.New(cakind.Kind(drpcerr.Code(err)-codeOffset), "%s", err.Error())
	default:
		return out, cakind.Wrap(cakind.KindUnknown, err, "call %s of peer %s", name, address)
	}
}

// unreachableError is the cause of calls that were never sent.
type unreachableError struct{ cause error }

func (e *unreachableError) Error() string { return e.cause.Error() }
func (e *unreachableError) Unwrap() error { return e.cause }

// IsUnreachable reports whether the call was never sent, since there was no
// connection to the peer.
func IsUnreachable(err error) bool {
	var e *unreachableError
	return errors.As(err, &e)
}

// dial opens a connection and exchanges greetings on it.
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
	raw, err := c.open(ctx, address)
	if err != nil {
		return nil, err
	}
	if c.config == nil {
		return drpcconn.New(raw), nil
	}
	secure := tls.Client(raw, c.configFor(address))
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return drpcconn.New(secure), nil
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

// Close ends all connections.
func (c *Client) Close() error {
	var err error
	c.once.Do(func() { err = c.pool.Close() })
	return err
}
