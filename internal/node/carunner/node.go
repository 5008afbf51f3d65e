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
	// gcPercent is how much the heap may grow between two garbage collections, in
	// percent. While the entry leads, leaderGCPercent applies instead, since
	// collections then scan the largest heap and are most frequent.
	gcPercent       = 50
	leaderGCPercent = 150
	// softMemoryShare is the part of the memory limit of the process from which on garbage is collected
	// more often.
	softMemoryShare = 0.8
	// scrapeHeaderTimeout limits the time to read the headers of a request for
	// metrics.
	scrapeHeaderTimeout = 3 * time.Second
)

// runNode runs an entry as a node of the users' platform.
func runNode(ctx context.Context, out cacommand.Output, o caoption.Node) error {
	path := o.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsPathVariable)
	}
	settings, err := platform.ReadSettings(path)
	if err != nil || o.Check {
		return err
	}
	settings.AdvertisedAddress = o.Advertise
	debug.SetGCPercent(gcPercent)
	if limit := settings.Limits.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * limit * (1 << 20)))
	}
	logWriter := calines.New(out.Stdout, time.Now)
	defer func() { _ = logWriter.Close() }()
	deps, closer := newDeps(logWriter, zerolog.InfoLevel)
	defer func() { _ = closer.Close() }()
	if o.Metrics != "" {
		if err := serveMetrics(ctx, net.JoinHostPort(settings.IP, o.Metrics), deps.MetricsHandler); err != nil {
			return err
		}
	}
	return platform.NewNode(path, settings, deps.Logger, deps.Scope, setGCPercent).Run(ctx)
}

// setGCPercent sets how much the heap may grow between two garbage collections.
func setGCPercent(leading bool) {
	percent := gcPercent
	if leading {
		percent = leaderGCPercent
	}
	debug.SetGCPercent(percent)
}

// serveMetrics serves metrics on the address until the context ends.
func serveMetrics(ctx context.Context, address string, h http.Handler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", h)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: scrapeHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(lis) }()
	return nil
}
