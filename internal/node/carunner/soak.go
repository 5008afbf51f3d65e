package carunner

import (
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
)

// runSoak soaks cells, some at the same time, and tells of each.
func runSoak(ctx context.Context, out cacommand.Output, o caoption.Soak) error {
	program, err := os.Executable()
	if err != nil {
		return cakind.Wrap(cakind.KindInternal, err, "find the program")
	}
	var mu sync.Mutex
	var failed error
	var parts sync.WaitGroup
	slots := make(chan struct{}, max(o.Together, 1))
	for i := range o.Seeds {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		parts.Go(func() {
			defer func() { <-slots }()
			seed := o.Seed + int64(i)
			text, err := soakSeed(ctx, o, seed, os.Getpid()+i, program)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprint(out.Stdout, text)
			failed = errors.Join(failed, err)
		})
	}
	parts.Wait()
	return errors.Join(failed, context.Cause(ctx))
}

// soakSeed soaks one cell. It returns what to print. The folder of a soak that
// broke a promise is kept.
func soakSeed(ctx context.Context, o caoption.Soak, seed int64, run int, program string) (string, error) {
	dir, err := soakDir(o.Dir, seed)
	if err != nil {
		return "", err
	}
	report, err := casoak.Run(ctx, casoak.Options{
		Seed: seed, During: o.During, Nodes: o.Nodes, Upstreams: o.Upstreams, Program: []string{program}, Dir: dir, Run: run,
	})
	text := fmt.Sprintf("seed %d: %s\n", seed, report)
	if err == nil {
		err = report.Error()
	}
	if err == nil {
		if o.Dir == "" {
			_ = os.RemoveAll(dir)
		}
		return text, nil
	}
	for _, broken := range report.Broken {
		text += fmt.Sprintf("  broken: %s\n", broken)
	}
	for _, fault := range report.Plan {
		text += fmt.Sprintf("  fault: %s\n", fault)
	}
	return text + fmt.Sprintf("  logs: %s\n", dir), cakind.Wrap(cakind.Of(err), err, "seed %d", seed)
}

func soakDir(parent string, seed int64) (string, error) {
	if parent == "" {
		return os.MkdirTemp("", "celeryarch-soak")
	}
	dir := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	return dir, os.MkdirAll(dir, 0o755)
}
