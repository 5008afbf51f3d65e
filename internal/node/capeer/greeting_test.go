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

func greetingOf(vm cawork.VMID, oldest, newest caversion.Protocol) capeer.Introduce {
	g := caversion.Greeting{VM: vm, Incarnation: 7, Zone: "z", Oldest: oldest, Newest: newest, Format: caversion.Format(newest)}
	return func() caversion.Greeting { return g }
}

// meeting is what comes of a call between two entries.
type meeting struct {
	Kind    cakind.Kind
	Answer  string
	Foreign bool
	Handled bool
	Told    caversion.Greeting
}

// meet lets a client of one range of protocols call a server of another. A nil
// greeting stands for version 0.2.0.
func meet(t *testing.T, client, server capeer.Introduce) meeting {
	t.Helper()
	var m meeting
	s := capeer.NewServer()
	capeer.Handle(s, "echo", func(_ context.Context, in message) (message, error) {
		m.Handled = true
		return in, nil
	})
	if server != nil {
		s.GreetAs(server)
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	go func() { _ = s.Serve(ctx, lis, nil) }()
	c := capeer.NewClient(capeer.DialTCP, nil)
	if client != nil {
		c.GreetAs(client)
	}
	address := lis.Addr().String()
	// The second call goes over the same connection.
	_, _ = capeer.Call[message, message](ctx, c, address, "echo", message{Text: "first"})
	out, err := capeer.Call[message, message](ctx, c, address, "echo", message{Text: "hello"})
	m.Answer = out.Text
	if err != nil {
		m.Kind = cakind.Of(err)
	}
	_, m.Foreign = caversion.Foreign(err)
	m.Told, _ = c.Greeting(address)
	_ = c.Close()
	cancel()
	<-s.Done()
	return m
}

func TestEntriesOfVersionsMeet(t *testing.T) {
	newer := greetingOf("b", 1, 2)
	for name, c := range map[string]struct {
		client, server capeer.Introduce
		want           meeting
	}{
		"0.2.0 calls the same":   {nil, nil, meeting{Answer: "hello", Handled: true}},
		"0.2.0 calls the next":   {nil, newer, meeting{Answer: "hello", Handled: true}},
		"the next calls 0.2.0":   {newer, nil, meeting{Answer: "hello", Handled: true, Told: caversion.Unnumbered()}},
		"the next calls itself":  {newer, newer, meeting{Answer: "hello", Handled: true, Told: newer()}},
		"0.2.0 calls a late one": {nil, greetingOf("c", 2, 3), meeting{Kind: cakind.KindUnavailable}},
		"a late one calls 0.2.0": {greetingOf("c", 2, 3), nil, meeting{Kind: cakind.KindUnavailable, Foreign: true, Told: caversion.Unnumbered()}},
		"a late one calls an earlier one": {greetingOf("d", 3, 4), newer, meeting{
			Kind: cakind.KindUnavailable, Foreign: true, Told: newer(),
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, meet(t, c.client, c.server)); diff != "" {
				t.Errorf("meeting mismatch (-want +got):\n%s", diff)
			}
		})
	}
}

// TestCallsOfAHandlerHaveTheirOwnHeaders lets a handler make calls at once under
// the context of the call that it answers. The race detector tells whether they
// share what they send.
func TestCallsOfAHandlerHaveTheirOwnHeaders(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	last, middle := capeer.NewServer(), capeer.NewServer()
	capeer.Handle(last, "echo", func(_ context.Context, in message) (message, error) { return in, nil })
	last.GreetAs(greetingOf("last", 1, 3))
	onward := capeer.NewClient(capeer.DialTCP, nil)
	onward.GreetAs(greetingOf("middle", 3, 3))
	var address string
	capeer.Handle(middle, "pass", func(ctx context.Context, in message) (message, error) {
		answers := make(chan error, 8)
		for range cap(answers) {
			go func() {
				_, err := capeer.Call[message, message](ctx, onward, address, "echo", in)
				answers <- err
			}()
		}
		var err error
		for range cap(answers) {
			err = errors.Join(err, <-answers)
		}
		return in, err
	})
	middle.GreetAs(greetingOf("middle", 1, 3))
	addresses := make([]string, 0, 2)
	for _, s := range []*capeer.Server{last, middle} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, lis.Addr().String())
		go func() { _ = s.Serve(ctx, lis, nil) }()
	}
	address = addresses[0]
	client := capeer.NewClient(capeer.DialTCP, nil)
	client.GreetAs(greetingOf("first", 1, 1))
	if _, err := capeer.Call[message, message](ctx, client, addresses[1], "pass", message{Text: "hello"}); err != nil {
		t.Error(err)
	}
	_, _ = onward.Close(), client.Close()
}
