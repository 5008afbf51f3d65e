package carunner

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/soak/casoak"
	"celeryarch.example/celeryarch/internal/soak/caworkload"
)

// runSoak runs soak tests of cells, one for each seed and up to o.Parallel at the
// same time, and prints the result of each.
func runSoak(ctx context.Context, out cacommand.Output, o caoption.Soak) error {
	program, err := os.Executable()
	if err != nil {
		return cakind.Wrap(cakind.KindInternal, err, "find the path of the executable")
	}
	var mu sync.Mutex
	var errs error
	var running sync.WaitGroup
	slots := make(chan struct{}, max(o.Parallel, 1))
	for i := range o.Seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		running.Go(func() {
			defer func() { <-slots }()
			seed := o.Seed + int64(i)
			text, err := soakSeed(ctx, o, seed, os.Getpid()+i, program)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprint(out.Stdout, text)
			errs = errors.Join(errs, err)
		})
	}
	running.Wait()
	return errors.Join(errs, context.Cause(ctx))
}

// soakSeed runs the soak test of one cell and returns the text to print. It keeps
// the folder of logs if the test failed or o.Dir is set.
func soakSeed(ctx context.Context, o caoption.Soak, seed int64, runNumber int, program string) (string, error) {
	dir, err := soakDir(o.Dir, seed)
	if err != nil {
		return "", err
	}
	options := casoak.Options{
		Seed: seed, Duration: o.Duration, Nodes: o.Nodes, Upstreams: o.Upstreams, Shards: o.Shards, Command: []string{cmp.Or(o.Program, program)}, Dir: dir, RunIndex: runNumber,
		IsPlanned: o.Planned, IsPatient: true,
	}
	if !o.Plain {
		options.Added = addedFaults(o, seed)
	}
	if o.Previous != "" {
		options.Previous = []string{o.Previous}
	}
	if options.Workload, err = readWorkload(o.Load); err != nil {
		return "", err
	}
	report, err := casoak.Run(ctx, options)
	text := fmt.Sprintf("seed %d: %s\n", seed, report)
	if err == nil {
		err = report.Err()
	}
	if err == nil {
		if o.Dir == "" {
			_ = os.RemoveAll(dir)
		}
		return text, nil
	}
	for _, violation := range report.Broken {
		text += fmt.Sprintf("  broken: %s\n", violation)
	}
	for _, fault := range report.Plan {
		text += fmt.Sprintf("  fault: %s\n", fault)
	}
	return text + fmt.Sprintf("  logs: %s\n", dir), cakind.Wrap(cakind.Of(err), err, "seed %d", seed)
}

// addedFaults returns the added kinds of fault of a seed.
func addedFaults(o caoption.Soak, seed int64) []casoak.FaultKind {
	if o.Load != "" {
		return casoak.DrawAddedWork(seed)
	}
	return casoak.DrawAdded(seed)
}

// readWorkload reads the workload of a soak. Without a path it returns nil.
func readWorkload(path string) (*caworkload.Workload, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInvalid, err, "read workload")
	}
	w, err := caworkload.Parse(path, data)
	return &w, err
}

func soakDir(parent string, seed int64) (string, error) {
	if parent == "" {
		return os.MkdirTemp("", "celeryarch-soak")
	}
	dir := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	return dir, os.MkdirAll(dir, 0o755)
}
