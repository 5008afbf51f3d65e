package main

import (
	"context"
	"fmt"
	"os"
)

func Example_run() {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// every node knows 3 members
	// a node prints: <nil>
	// it prints late: fenced
	// paper=a4 accepted: true
	// paper=a3 accepted: false
	// every node follows paper=a4
	// 6 of 10 cores are used at node-3, 6 more at node-1: limit_reached
}
