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
	// callGreet is the first call on each connection. Its request and reply are
	// caversion.Greeting, which entries of all versions can decode.
	callGreet = "peer.greet"
	// headerProtocols names the header of a call with the range of protocols that
	// the caller supports, for example "1-2". Calls of version 0.2.0 lack it.
	headerProtocols = "p"
)

// GreetingFunc returns the greeting of this entry. The protocols in it never
// change.
type GreetingFunc func() caversion.Greeting

// greeter holds what an entry sends about itself: a greeting on each new
// connection, and its range of protocols with each call.
type greeter struct {
	greeting        GreetingFunc
	protocols       caversion.Range
	protocolsHeader string
}

func newGreeter(greeting GreetingFunc) *greeter {
	protocols := greeting().Protocols()
	return &greeter{greeting: greeting, protocols: protocols, protocolsHeader: protocols.String()}
}

// SetGreeting makes the server answer greetings and reject calls of peers that
// share no protocol with it. It must be called before Serve. Without it the
// server behaves like version 0.2.0.
func (s *Server) SetGreeting(greeting GreetingFunc) {
	s.greeter = newGreeter(greeting)
	Handle(s, callGreet, func(context.Context, caversion.Greeting) (caversion.Greeting, error) { return greeting(), nil })
}

// checkProtocols rejects a call if the caller shares no protocol with this entry.
// Greetings are always accepted.
func (s *Server) checkProtocols(ctx context.Context, rpc string) error {
	if s.greeter == nil || rpc == callGreet {
		return nil
	}
	caller := caversion.UnnumberedGreeting().Protocols()
	if headers, ok := drpcmetadata.Get(ctx); ok && headers[headerProtocols] != "" {
		var err error
		if caller, err = caversion.ParseRange(headers[headerProtocols]); err != nil {
			return err
		}
	}
	if s.greeter.protocols.Overlaps(caller) {
		return nil
	}
	return cakind.New(cakind.KindUnavailable, "caller of %s supports protocols %s, but this entry supports %s", rpc, caller, s.greeter.protocols)
}

// SetGreeting makes the client send a greeting on each new connection and its
// protocols with each call. It must be called before Call. Without it the client
// behaves like version 0.2.0.
func (c *Client) SetGreeting(greeting GreetingFunc) { c.greeter = newGreeter(greeting) }

// Greeting returns the last greeting received from the peer at the address. It
// returns false if there was none.
func (c *Client) Greeting(address string) (caversion.Greeting, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	g, ok := c.greetings[address]
	return g, ok
}

func (c *Client) withProtocols(ctx context.Context) context.Context {
	if c.greeter == nil {
		return ctx
	}
	return drpcmetadata.Add(withoutMetadata{ctx}, headerProtocols, c.greeter.protocolsHeader)
}

// withoutMetadata hides the headers of an incoming call from the outgoing calls
// of its handler. Otherwise drpcmetadata.Add would add to the map of the
// incoming call, which concurrent outgoing calls share.
type withoutMetadata struct{ context.Context }

// Value implements context.Context.
func (c withoutMetadata) Value(key any) any {
	value := c.Context.Value(key)
	if _, isHeaders := value.(map[string]string); isHeaders {
		return nil
	}
	return value
}

// greet exchanges greetings on a new connection. A peer without this call runs
// version 0.2.0.
func (c *Client) greet(ctx context.Context, conn drpc.Conn, address string) error {
	if c.greeter == nil {
		return nil
	}
	greeting := c.greeter.greeting()
	var peer caversion.Greeting
	err := conn.Invoke(ctx, callGreet, Encoding{}, &greeting, &peer)
	switch {
	case err == nil:
	case drpcerr.Code(err) == uint64(cakind.KindNotFound)+codeOffset:
		peer = caversion.UnnumberedGreeting()
	default:
		return err
	}
	c.mu.Lock()
	c.greetings[address] = peer
	c.mu.Unlock()
	if !greeting.Protocols().Overlaps(peer.Protocols()) {
		return &caversion.ProtocolMismatchError{Own: greeting.Protocols(), Peer: peer}
	}
	return nil
}
