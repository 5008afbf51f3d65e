// Command embed runs three nodes in one process that coordinate by the
// coordination library: they find one another, one of them holds a lease, all
// follow one configuration, and a limit holds over all of them.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"celeryarch.example/celeryarch/coordination"
)

const (
	// patience bounds the whole run.
	patience = 30 * time.Second
	// lookPeriod is the time between two looks at something awaited.
	lookPeriod = 20 * time.Millisecond
)

// printer is the name that one node at a time may use.
const printer coordination.LeaseName = "printer"

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "embed:", err)
		os.Exit(1)
	}
}

// run starts the nodes and shows each part at work.
func run(ctx context.Context, out io.Writer) error {
	world := newWorld()
	for _, id := range []coordination.VMID{"node-1", "node-2", "node-3"} {
		world.add(id)
	}
	for _, n := range world.nodes {
		n.start(ctx)
	}
	for _, show := range []func(context.Context, io.Writer) error{
		world.showMembers, world.showLease, world.showConfig, world.showLimit,
	} {
		if err := show(ctx, out); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) showMembers(ctx context.Context, out io.Writer) error {
	for _, n := range w.nodes {
		if err := await(ctx, func() bool { return len(n.members.Members()) == len(w.nodes) }); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "every node knows", len(w.nodes), "members")
	return nil
}

// showLease waits until a node holds the printer, and shows that what it sends
// after it gave it up is refused.
func (w *world) showLease(ctx context.Context, out io.Writer) error {
	var first *node
	var lease coordination.Lease
	err := await(ctx, func() bool {
		for _, n := range w.nodes {
			if held, ok := n.leases.Lease(printer); ok {
				first, lease = n, held
				return true
			}
		}
		return false
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "a node prints:", w.table.Check(printer, lease.Epoch))
	if err := first.leases.Drain(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "it prints late:", coordination.KindOf(w.table.Check(printer, lease.Epoch)))
	return nil
}

// showConfig lets two operators race.
func (w *world) showConfig(ctx context.Context, out io.Writer) error {
	publisher := coordination.ConfigPublisher{Log: w.log, Topic: configTopic}
	for _, id := range []coordination.ConfigChangeID{"paper=a4", "paper=a3"} {
		result, err := publisher.Publish(ctx, coordination.ConfigChange{ID: id, Base: 0, Body: []byte(id)})
		if err != nil {
			return err
		}
		fmt.Fprintln(out, id, "accepted:", result.Accepted)
	}
	for _, n := range w.nodes {
		if err := await(ctx, func() bool { return n.config.Current().Version == 1 }); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "every node follows %s\n", w.nodes[2].config.Current().Body)
	return nil
}

// showLimit lets the last node use the limit that the first one minted.
func (w *world) showLimit(ctx context.Context, out io.Writer) error {
	first, last := w.nodes[0].limits, w.nodes[2].limits
	if err := first.SetMint(ctx, coordination.MintShare{Team: "reports", Version: 1, Amount: coordination.Cores(10)}); err != nil {
		return err
	}
	last.SetNeeds([]coordination.AllowanceNeed{{Team: "reports", Amount: coordination.Cores(6), Least: coordination.Cores(6)}})
	err := await(ctx, func() bool {
		_, err := last.Acquire(ctx, "reports", coordination.Cores(6))
		return err == nil
	})
	if err != nil {
		return err
	}
	_, err = first.Acquire(ctx, "reports", coordination.Cores(6))
	fmt.Fprintln(out, "6 of 10 cores are used at node-3, 6 more at node-1:", coordination.KindOf(err))
	return nil
}

// await looks again and again until the condition holds.
func await(ctx context.Context, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(lookPeriod):
		}
	}
	return nil
}
