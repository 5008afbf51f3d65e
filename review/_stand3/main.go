// Command stand3 plays the cases of the third review. Each starts entries as processes and is the
// platform, the workers and the clients around them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenario plays a case, with the disruption or without it, and reports whether the rule was broken.
type scenario func(c *cell, trouble bool) (broken bool)

var scenarios = map[string]scenario{
	"bodies":  playBodies,
	"renamed": playRenamed,
	"quota":   playQuota,
	"shards":  playShards,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	c := newCell(os.Args[2])
	current = c
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		c.stop()
		os.Exit(exitCannotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	time.AfterFunc(115*time.Second, func() {
		c.record("the case takes too long")
		c.stop()
		os.Exit(exitCannotRun)
	})
	broken := scenarios[os.Args[1]](c, trouble)
	c.stop()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
