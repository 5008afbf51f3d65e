package capeer

import (
	"context"

	"storj.io/drpc"
	"storj.io/drpc/drpcerr"
	"storj.io/drpc/drpcmetadata"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
)

const (
	// callGreet is the first call on each connection. Its messages are
	// caversion.Greeting, which entries of all versions read.
	callGreet = "peer.greet"
	// headerProtocols names the header of a call that tells the protocols of the
	// caller, for example "1-2". Calls of version 0.2.0 have none.
	headerProtocols = "p"
)

// Introduce returns the greeting of this entry. Its protocols never change.
type Introduce func() caversion.Greeting

// introduction is what an entry tells others: the greeting on each connection,
// and the protocols with each call.
type introduction struct {
	greeting  Introduce
	protocols caversion.Range
	header    string
}

func newIntroduction(greeting Introduce) *introduction {
	protocols := greeting().Protocols()
	return &introduction{greeting: greeting, protocols: protocols, header: protocols.String()}
}

// GreetAs makes the server answer greetings and refuse calls of peers that
// speak no common protocol. It is called before Serve. Without it the server
// is one of version 0.2.0.
func (s *Server) GreetAs(self Introduce) {
	s.self = newIntroduction(self)
	Handle(s, callGreet, func(context.Context, caversion.Greeting) (caversion.Greeting, error) { return self(), nil })
}

// checkHeader refuses a call of a peer that speaks no common protocol. All may
// greet.
func (s *Server) checkHeader(ctx context.Context, rpc string) error {
	if s.self == nil || rpc == callGreet {
		return nil
	}
	caller := caversion.Unnumbered().Protocols()
	if headers, ok := drpcmetadata.Get(ctx); ok && headers[headerProtocols] != "" {
		var err error
		if caller, err = caversion.ParseRange(headers[headerProtocols]); err != nil {
			return err
		}
	}
	if s.self.protocols.Overlaps(caller) {
		return nil
	}
	return cakind.New(cakind.KindUnavailable, "call %s in protocols %s, this entry speaks %s", rpc, caller, s.self.protocols)
}

// GreetAs makes the client greet on each new connection and tell its protocols
// with each call. It is called before Call. Without it the client is one of
// version 0.2.0.
func (c *Client) GreetAs(self Introduce) { c.self = newIntroduction(self) }

// Greeting returns the last greeting of the peer at the address, false when it
// was never reached.
func (c *Client) Greeting(address string) (caversion.Greeting, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.greeted[address]
	return g, ok
}

func (c *Client) withHeader(ctx context.Context) context.Context {
	if c.self == nil {
		return ctx
	}
	return drpcmetadata.Add(withoutHeaders{ctx}, headerProtocols, c.self.header)
}

// withoutHeaders hides the headers of the call that a handler answers from the
// calls that it makes, which would change the same map.
type withoutHeaders struct{ context.Context }

// Value implements context.Context.
func (c withoutHeaders) Value(key any) any {
	value := c.Context.Value(key)
	if _, isHeaders := value.(map[string]string); isHeaders {
		return nil
	}
	return value
}

// greet exchanges greetings on a new connection. A peer that does not know the
// call is of version 0.2.0.
func (c *Client) greet(ctx context.Context, conn drpc.Conn, address string) error {
	if c.self == nil {
		return nil
	}
	own := c.self.greeting()
	var peer caversion.Greeting
	err := conn.Invoke(ctx, callGreet, Encoding{}, &own, &peer)
	switch {
	case err == nil:
	case drpcerr.Code(err) == uint64(cakind.KindNotFound)+codeOffset:
		peer = caversion.Unnumbered()
	default:
		return err
	}
	c.mu.Lock()
	c.greeted[address] = peer
	c.mu.Unlock()
	if !own.Protocols().Overlaps(peer.Protocols()) {
		return &caversion.ForeignError{Own: own.Protocols(), Peer: peer}
	}
	return nil
}
