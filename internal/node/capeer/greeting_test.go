package capeer_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/capeer"
)

func greetingOf(vm cawork.VMID, oldest, newest caversion.Protocol) capeer.GreetingFunc {
	g := caversion.Greeting{VM: vm, Incarnation: 7, Zone: "z", Oldest: oldest, Newest: newest, Format: caversion.Format(newest)}
	return func() caversion.Greeting { return g }
}

// callResult is the result of a call between two entries.
type callResult struct {
	Kind         cakind.Kind
	Reply        string
	Foreign      bool
	Handled      bool
	PeerGreeting caversion.Greeting
}

// callBetween calls a server from a client, each with its own greeting. A nil
// greeting stands for version 0.2.0.
func callBetween(t *testing.T, client, server capeer.GreetingFunc) callResult {
	t.Helper()
	var result callResult
	s := capeer.NewServer()
	capeer.Handle(s, "echo", func(_ context.Context, in message) (message, error) {
		result.Handled = true
		return in, nil
	})
	if server != nil {
		s.SetGreeting(server)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	go func() { _ = s.Serve(ctx, lis, nil) }()
	c := capeer.NewClient(capeer.DialTCP, nil)
	if client != nil {
		c.SetGreeting(client)
	}
	address := lis.Addr().String()
	// The second call reuses the connection of the first.
	_, _ = capeer.Call[message, message](ctx, c, address, "echo", message{Text: "first"})
	out, err := capeer.Call[message, message](ctx, c, address, "echo", message{Text: "hello"})
	result.Reply = out.Text
	if err != nil {
		result.Kind = cakind.Of(err)
	}
	_, result.Foreign = caversion.MismatchedPeer(err)
	result.PeerGreeting, _ = c.Greeting(address)
	_ = c.Close()
	cancel()
	<-s.Done()
	return result
}

func TestCallsBetweenVersions(t *testing.T) {
	protocols1To2 := greetingOf("b", 1, 2)
	for name, c := range map[string]struct {
		client, server capeer.GreetingFunc
		want           callResult
	}{
		"0.2.0 calls 0.2.0":              {nil, nil, callResult{Reply: "hello", Handled: true}},
		"0.2.0 calls protocols 1 to 2":   {nil, protocols1To2, callResult{Reply: "hello", Handled: true}},
		"protocols 1 to 2 call 0.2.0":    {protocols1To2, nil, callResult{Reply: "hello", Handled: true, PeerGreeting: caversion.UnnumberedGreeting()}},
		"protocols 1 to 2 call the same": {protocols1To2, protocols1To2, callResult{Reply: "hello", Handled: true, PeerGreeting: protocols1To2()}},
		"0.2.0 calls protocols 2 to 3":   {nil, greetingOf("c", 2, 3), callResult{Kind: cakind.KindUnavailable}},
		"protocols 2 to 3 call 0.2.0":    {greetingOf("c", 2, 3), nil, callResult{Kind: cakind.KindUnavailable, Foreign: true, PeerGreeting: caversion.UnnumberedGreeting()}},
		"protocols 3 to 4 call protocols 1 to 2": {greetingOf("d", 3, 4), protocols1To2, callResult{
			Kind: cakind.KindUnavailable, Foreign: true, PeerGreeting: protocols1To2(),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, callBetween(t, c.client, c.server)); diff != "" {
				t.Errorf("call result mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestConcurrentCallsOfHandlerDoNotShareHeaders makes concurrent calls from a
// handler, with the context of the incoming call. Without withoutMetadata they
// write to the same map of headers, which the race detector reports.
func TestConcurrentCallsOfHandlerDoNotShareHeaders(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	target, relay := capeer.NewServer(), capeer.NewServer()
	capeer.Handle(target, "echo", func(_ context.Context, in message) (message, error) { return in, nil })
	target.SetGreeting(greetingOf("last", 1, 3))
	relayClient := capeer.NewClient(capeer.DialTCP, nil)
	relayClient.SetGreeting(greetingOf("middle", 3, 3))
	var address string
	capeer.Handle(relay, "pass", func(ctx context.Context, in message) (message, error) {
		results := make(chan error, 8)
		for range cap(results) {
			go func() {
				_, err := capeer.Call[message, message](ctx, relayClient, address, "echo", in)
				results <- err
			}()
		}
		var err error
		for range cap(results) {
			err = errors.Join(err, <-results)
		}
		return in, err
	})
	relay.SetGreeting(greetingOf("middle", 1, 3))
	addresses := make([]string, 0, 2)
	for _, s := range []*capeer.Server{target, relay} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, lis.Addr().String())
		go func() { _ = s.Serve(ctx, lis, nil) }()
	}
	address = addresses[0]
	client := capeer.NewClient(capeer.DialTCP, nil)
	client.SetGreeting(greetingOf("first", 1, 1))
	if _, err := capeer.Call[message, message](ctx, client, addresses[1], "pass", message{Text: "hello"}); err != nil {
		t.Error(err)
	}
	_, _ = relayClient.Close(), client.Close()
}
