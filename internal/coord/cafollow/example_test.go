package cafollow_test

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
)

// Two operators publish a change on the same base version. The first one is
// accepted, and a follower that starts later receives its body.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	log := castandlog.NewLog(time.Now, time.Hour)
	publisher := cafollow.Publisher{Log: log, Topic: "config"}
	for _, id := range []cafollow.ChangeID{"first", "second"} {
		result, err := publisher.Publish(ctx, cafollow.Change{ID: id, Base: 0, Body: []byte("body of " + id)})
		fmt.Println(id, "accepted:", result.Accepted, "winner:", result.Winner, err)
	}

	follower := cafollow.NewFollower(cafollow.Options{
		Self: "entry-1", Log: log, Topic: "config", Timer: catimer.NewService(), Logger: zerolog.Nop(),
	})
	changed := follower.Changed()
	go func() { _ = follower.Run(ctx) }()
	<-changed
	fmt.Printf("version %d: %s\n", follower.Current().Version, follower.Current().Body)
	cancel()
	<-follower.Done()
	// Output:
	// first accepted: true winner: first <nil>
	// second accepted: false winner: first <nil>
	// version 1: body of first
}
