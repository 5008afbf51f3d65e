package carunner

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/calines"
	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/platform"
)

const (
	// collectPercent is how much the heap grows between two collections, and
	// collectPercentLeading the same while the entry leads, when a collection has
	// the most to look at and comes most often.
	collectPercent        = 50
	collectPercentLeading = 150
	// scrapeTimeout bounds the reading of a request for metrics.
	scrapeTimeout = 3 * time.Second
)

// runNode runs an entry on the platform of the users.
func runNode(ctx context.Context, out cacommand.Output, o caoption.Node) error {
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil || o.Check {
		return err
	}
	settings.Advertise = o.Advertise
	debug.SetGCPercent(collectPercent)
	lines := calines.New(out.Stdout, time.Now)
	defer func() { _ = lines.Close() }()
	around, closer := surroundings(lines, zerolog.InfoLevel)
	defer func() { _ = closer.Close() }()
	if o.Metrics != "" {
		if err := serveMetrics(ctx, net.JoinHostPort(settings.IP, o.Metrics), around.Metrics); err != nil {
			return err
		}
	}
	return platform.NewNode(path, settings, around.Logger, around.Scope, growHeap).Run(ctx)
}

// growHeap sets how much the heap grows between two collections.
func growHeap(leading bool) {
	percent := collectPercent
	if leading {
		percent = collectPercentLeading
	}
	debug.SetGCPercent(percent)
}

// serveMetrics answers scrapes on the address until the context ends.
func serveMetrics(ctx context.Context, address string, h http.Handler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: scrapeTimeout}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(lis) }()
	return nil
}
