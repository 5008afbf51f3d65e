package carunner

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/platform"
)

const (
	// logLinesKept bounds the log lines that wait for their reader. Those that
	// find no room are dropped and counted.
	logLinesKept = 1024
	// collectPercent is how much the heap grows between two collections.
	collectPercent = 50
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
	lines := newLogWriter(out.Stdout)
	defer func() { _ = lines.Close() }()
	around, closer := surroundings(lines, zerolog.InfoLevel)
	defer func() { _ = closer.Close() }()
	if o.Metrics != "" {
		if err := serveMetrics(ctx, net.JoinHostPort(settings.IP, o.Metrics), around.Metrics); err != nil {
			return err
		}
	}
	return platform.NewNode(path, settings, around.Logger, around.Scope).Run(ctx)
}

// newLogWriter returns a writer that never blocks: lines wait in a ring, and
// the number of those that found no room is written instead.
func newLogWriter(w io.Writer) io.WriteCloser {
	var dropped atomic.Int64
	return diode.NewWriter(w, logLinesKept, 0, func(missed int) {
		total := dropped.Add(int64(missed))
		fmt.Fprintf(w, "{\"level\":\"warn\",\"event\":%d,\"name\":%q,\"dropped\":%d,\"dropped_total\":%d}\n",
			caevent.LinesDropped, caevent.LinesDropped.String(), missed, total)
	})
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
