// Command embed runs three nodes in one process that use the coordination
// library: they discover each other, one of them holds a lease, all follow the
// same configuration, and a limit applies to all of them together.
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
	// runTimeout bounds the run of the example.
	runTimeout = 30 * time.Second
	// pollInterval is the time between two checks of an awaited condition.
	pollInterval = 20 * time.Millisecond
)

// printer names a lease that one node at a time may hold.
const printer coordination.LeaseName = "printer"

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "embed:", err)
		os.Exit(1)
	}
}

// run starts the nodes and demonstrates each part of the library.
func run(ctx context.Context, out io.Writer) error {
	env := newEnvironment()
	for _, id := range []coordination.VMID{"node-1", "node-2", "node-3"} {
		env.add(id)
	}
	for _, n := range env.nodes {
		n.start(ctx)
	}
	for _, show := range []func(context.Context, io.Writer) error{
		env.showMembers, env.showLease, env.showConfig, env.showLimit,
	} {
		if err := show(ctx, out); err != nil {
			return err
		}
	}
	return nil
}

func (e *environment) showMembers(ctx context.Context, out io.Writer) error {
	for _, n := range e.nodes {
		if err := await(ctx, func() bool { return len(n.members.Members()) == len(e.nodes) }); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "every node knows", len(e.nodes), "members")
	return nil
}

// showLease waits until a node holds the lease, and shows that its fencing token is
// refused after it released the lease.
func (e *environment) showLease(ctx context.Context, out io.Writer) error {
	var first *node
	var lease coordination.Lease
	err := await(ctx, func() bool {
		for _, n := range e.nodes {
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
	fmt.Fprintln(out, "a node prints:", e.table.Check(printer, lease.Epoch))
	if err := first.leases.Drain(ctx); err != nil {
		return err
	}
	fmt.Fprintln(out, "it prints late:", coordination.KindOf(e.table.Check(printer, lease.Epoch)))
	return nil
}

// showConfig publishes two changes on the same base version: only the first is
// accepted.
func (e *environment) showConfig(ctx context.Context, out io.Writer) error {
	publisher := coordination.ConfigPublisher{Log: e.log, Topic: configTopic}
	for _, id := range []coordination.ConfigChangeID{"paper=a4", "paper=a3"} {
		result, err := publisher.Publish(ctx, coordination.ConfigChange{ID: id, Base: 0, Body: []byte(id)})
		if err != nil {
			return err
		}
		fmt.Fprintln(out, id, "accepted:", result.Accepted)
	}
	for _, n := range e.nodes {
		if err := await(ctx, func() bool { return n.config.Current().Version == 1 }); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "every node follows %s\n", e.nodes[2].config.Current().Body)
	return nil
}

// showLimit lets the last node use a limit whose amount was created at the first one.
func (e *environment) showLimit(ctx context.Context, out io.Writer) error {
	first, last := e.nodes[0].limits, e.nodes[2].limits
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

// await polls until the condition holds.
func await(ctx context.Context, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}
