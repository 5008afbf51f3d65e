// Package carunner implements the commands that run entries, stand-ins, soak
// tests and load.
package carunner

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/cli/caopenjobs"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/config/casettings"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/node/cademo"
	"celeryarch.example/celeryarch/internal/node/caentry"
	"celeryarch.example/celeryarch/internal/node/caprocessor"
	"celeryarch.example/celeryarch/internal/platform/cahttp"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/caload"
	"celeryarch.example/celeryarch/internal/standin/castandin"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
	"celeryarch.example/celeryarch/internal/standin/castandup"
	"celeryarch.example/celeryarch/internal/standin/castandvm"
	"celeryarch.example/celeryarch/platform"
)

const (
	// version is what --version prints.
	version = "0.2.0"
	// metricsPeriod is the time between two updates of the scraped metrics.
	metricsPeriod = time.Second
	// platformTimeout limits a call of a command to the platform.
	platformTimeout = 5 * time.Second
	// loadTimeout limits one request of the load command.
	loadTimeout = 30 * time.Second
	// metricsPrefix is the prefix of the name of each metric.
	metricsPrefix = "celeryarch"
	// logTimeFormat is the format of times in log lines. Milliseconds allow lines
	// of several entries to be ordered.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Runners returns the functions that run the commands.
func Runners() cacommand.Runners {
	return cacommand.Runners{
		Demo:            runDemo,
		Entry:           runEntry,
		Node:            runNode,
		Soak:            runSoak,
		StandinLog:      runStandinLog,
		StandinVMs:      runStandinVMs,
		StandinUpstream: runStandinUpstream,
		Load:            runLoad,
		CheckPolicy: func(out cacommand.Output, o caoption.CheckPolicy) error {
			return platform.CheckPolicy(out.Stdout, o.Args.Path, o.InForce, openJobs(o))
		},
		Log: func(url string) caplatform.Log {
			return cahttp.NewLog(cahttp.NewClient(platformTimeout), url)
		},
		Version: version,
	}
}

// openJobs returns how to read the open work, nil without an address of metrics.
func openJobs(o caoption.CheckPolicy) platform.OpenJobs {
	if len(o.Metrics) == 0 {
		return nil
	}
	return func() (caopenjobs.OpenWork, error) {
		return caopenjobs.Read(context.Background(), &http.Client{Timeout: o.Timeout}, metricsPrefix, o.Metrics)
	}
}

// newDeps returns the logger, timer and metrics of an entry, and a closer of the
// metrics.
func newDeps(w io.Writer, level zerolog.Level) (caentry.Deps, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: metricsPrefix, CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator,
		SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
	}, metricsPeriod)
	zerolog.TimeFieldFormat = logTimeFormat
	deps := caentry.Deps{
		Logger:         zerolog.New(w).Level(level).With().Timestamp().Logger(),
		Scope:          scope,
		Timer:          catimer.NewService(),
		MetricsHandler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	return deps, closer
}

func runDemo(ctx context.Context, out cacommand.Output, o caoption.Demo) error {
	deps, closer := newDeps(out.Stderr, zerolog.WarnLevel)
	defer func() { _ = closer.Close() }()
	demo, err := cademo.NewDemo(ctx, cademo.Options{API: o.API, Upstreams: o.Upstreams, Deps: deps})
	if err != nil {
		return err
	}
	if err := demo.WriteGuide(out.Stdout); err != nil {
		return err
	}
	return demo.Run(ctx)
}

func runEntry(ctx context.Context, out cacommand.Output, s casettings.Settings) error {
	deps, closer := newDeps(out.Stderr, s.LogLevel.Level)
	defer func() { _ = closer.Close() }()
	entry, err := caentry.NewEntry(s, deps, caentry.NewPlatform(s, deps.Logger))
	if err != nil {
		return err
	}
	return withScaledProcessors(ctx, s.Processors, deps, entry.Run)
}

// withScaledProcessors calls run and adapts the number of processors to the load
// until it returns, also while it drains after the context has ended.
func withScaledProcessors(ctx context.Context, maxProcs int, deps caentry.Deps, run func(context.Context) error) error {
	scalerCtx, stopScaler := context.WithCancel(context.WithoutCancel(ctx))
	scaler := caprocessor.NewScaler(maxProcs, deps.Timer, deps.Scope)
	go func() { _ = scaler.Run(scalerCtx) }()
	defer func() {
		stopScaler()
		<-scaler.Done()
	}()
	return run(ctx)
}

func runStandinLog(ctx context.Context, out cacommand.Output, o caoption.StandinLog) error {
	timer := catimer.NewService()
	return serveStandin(ctx, out, o.Listen, castandin.LogHandler(castandlog.NewLog(timer.Now, o.Retention)))
}

func runStandinVMs(ctx context.Context, out cacommand.Output, o caoption.StandinVMs) error {
	body, err := os.ReadFile(o.File)
	if err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "read the VM list")
	}
	var vms []caplatform.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return cakind.Wrap(cakind.KindInvalid, err, "parse the VM list %s", o.File)
	}
	timer := catimer.NewService()
	return serveStandin(ctx, out, o.Listen, castandin.VMListHandler(castandvm.NewList(timer.Now, o.Lag, vms)))
}

func runStandinUpstream(ctx context.Context, out cacommand.Output, o caoption.StandinUpstream) error {
	timer := catimer.NewService()
	vm := caplatform.VM{
		ID: cawork.VMID(o.ID), Role: caplatform.VMRoleUpstream, Zone: cawork.ZoneName(o.Zone),
		Rack: cawork.RackName(o.Rack), Address: o.Listen, Capacity: o.Size.Resources(),
		AcceleratorKind: o.AcceleratorKind, Slots: o.Slots, Connections: o.Connections,
	}
	return serveStandin(ctx, out, o.Listen, castandin.UpstreamHandler(castandup.NewUpstream(timer.Now, vm)))
}

func serveStandin(ctx context.Context, out cacommand.Output, address string, handler http.Handler) error {
	server, err := castandin.NewServer(address, handler)
	if err != nil {
		return err
	}
	logger := zerolog.New(out.Stderr).With().Timestamp().Logger()
	caevent.Info(logger, caevent.StandinStarted).Str("address", server.Address()).Send()
	return server.Run(ctx)
}

func runLoad(ctx context.Context, out cacommand.Output, o caoption.Load) error {
	if cawork.WorkKind(o.Kind) != cawork.WorkKindLookup {
		return cakind.New(cakind.KindInvalid, "load supports requests only; use --kind=lookup")
	}
	header := http.Header{}
	if o.Key != "" {
		header.Set("Authorization", "Bearer "+o.Key)
	}
	if o.Queue != "" {
		header.Set(caapi.HeaderQueue, o.Queue)
	}
	report, err := caload.Run(ctx, catimer.NewService(), caload.Plan{
		URLs: []string{o.EntryURL + caapi.PathRequests}, Header: header, Body: []byte("load"), Rate: o.Rate, Duration: o.Duration,
		Requests: int(math.Ceil(o.Rate * o.Duration.Seconds())), Timeout: loadTimeout, MaxInFlight: o.Concurrency, Seed: uint64(o.Seed),
	})
	if err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	if out.JSON {
		return report.WriteJSON(out.Stdout)
	}
	return report.WriteText(out.Stdout)
}
