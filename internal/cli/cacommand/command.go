// Package cacommand implements the commands of the command line.
package cacommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"celeryarch.example/celeryarch/internal/base/cahangup"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/config/caproblem"
	"celeryarch.example/celeryarch/internal/config/casettings"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// Output is where a command writes.
type Output struct {
	Stdout io.Writer
	Stderr io.Writer
	// JSON selects JSON output.
	JSON bool
}

// Runners are the functions that the commands call. They run until their work
// is done or the context ends.
type Runners struct {
	Demo            func(context.Context, Output, caoption.Demo) error
	Entry           func(context.Context, Output, casettings.Settings) error
	Node            func(context.Context, Output, caoption.Node) error
	Soak            func(context.Context, Output, caoption.Soak) error
	StandinLog      func(context.Context, Output, caoption.StandinLog) error
	StandinVMs      func(context.Context, Output, caoption.StandinVMs) error
	StandinUpstream func(context.Context, Output, caoption.StandinUpstream) error
	Load            func(context.Context, Output, caoption.Load) error
	CheckPolicy     func(Output, caoption.CheckPolicy) error
	// Log returns the log service at a URL.
	Log func(url string) caplatform.Log
	// Version is what --version prints.
	Version string
}

// command is one invocation of the program.
type command struct {
	Output
	ctx     context.Context
	options caoption.Options
	runners Runners
}

// commandNode is the command that runs an entry on the platform.
const commandNode = "node"

// Run runs the command that the arguments name. The arguments exclude the program
// name. SIGINT and SIGTERM cancel the context of the command, and SIGHUP that of all commands but
// commandNode, which reads its settings again.
func Run(args []string, stdout, stderr io.Writer, r Runners) ExitCode {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return RunContext(ctx, args, Output{Stdout: stdout, Stderr: stderr}, r)
}

// RunContext is Run with a context in place of signals.
func RunContext(ctx context.Context, args []string, out Output, r Runners) ExitCode {
	options, err := caoption.Parse(args)
	if err != nil {
		fmt.Fprintln(out.Stderr, "celeryarch:", err)
		return ExitUsage
	}
	switch {
	case options.Help:
		fmt.Fprint(out.Stdout, caoption.Help)
		return ExitOK
	case options.Version:
		fmt.Fprintln(out.Stdout, "celeryarch", r.Version)
		return ExitOK
	}
	out.JSON = options.JSON
	if options.Command != commandNode {
		hangupCtx, stop := hangupContext(ctx, cahangup.WasIgnored())
		defer stop()
		ctx = hangupCtx
	}
	c := command{Output: out, ctx: ctx, options: options, runners: r}
	return c.finish(c.run())
}

// run runs the command that was given.
func (c command) run() error {
	o := c.options
	switch o.Command {
	case "demo":
		return c.runners.Demo(c.ctx, c.Output, o.Demo)
	case "entry":
		return c.entry()
	case commandNode:
		return c.runners.Node(c.ctx, c.Output, o.Node)
	case "soak":
		return c.runners.Soak(c.ctx, c.Output, o.Soak)
	case "standin log":
		return c.runners.StandinLog(c.ctx, c.Output, o.Standin.Log)
	case "standin vms":
		return c.runners.StandinVMs(c.ctx, c.Output, o.Standin.VMs)
	case "standin upstream":
		return c.runners.StandinUpstream(c.ctx, c.Output, o.Standin.Upstream)
	case "load":
		return c.runners.Load(c.ctx, c.Output, o.Load)
	case "config check":
		return c.configCheck(o.Config.Check)
	case "config diff":
		return c.configDiff(o.Config.Diff)
	case "config publish":
		return c.configPublish(o.Config.Publish)
	case "key new":
		return c.keyNew(o.Key.New)
	case "key withdraw":
		return c.keyWithdraw(o.Key.Withdraw)
	}
	return c.runClient()
}

// runClient runs the commands that call an entry or read its logs.
func (c command) runClient() error {
	o := c.options
	switch o.Command {
	case "status":
		return c.status(o.Status)
	case "submit":
		return c.submit(o.Submit)
	case "get":
		return c.get(o.Get)
	case "cancel":
		return c.cancel(o.Cancel)
	case "explain":
		return c.explain(o.Explain)
	case "check-policy":
		return c.runners.CheckPolicy(c.Output, o.CheckPolicy)
	}
	return cakind.New(cakind.KindInternal, "command %q is not implemented", o.Command)
}

func (c command) entry() error {
	settings, err := casettings.Load(c.options.Entry.Settings)
	if err != nil {
		return err
	}
	return c.runners.Entry(c.ctx, c.Output, settings)
}

// errorOutput is an error as printed with --json.
type errorOutput struct {
	Kind     cakind.Kind     `json:"kind"`
	Message  string          `json:"message"`
	Problems []problemOutput `json:"problems,omitempty"`
}

// problemOutput is a problem in a file as printed with --json.
type problemOutput struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Path   string `json:"path,omitempty"`
	Reason string `json:"reason"`
}

// finish reports the error and returns the exit code.
func (c command) finish(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	if errors.As(err, new(outcomeError)) {
		return ExitCodeOf(err)
	}
	var problems caproblem.List
	errors.As(err, &problems)
	switch {
	case c.options.JSON:
		c.printJSON(newErrorOutput(err, problems))
	case len(problems) > 0:
		fmt.Fprintln(c.Stderr, problems.Error())
	default:
		fmt.Fprintln(c.Stderr, "celeryarch:", err)
	}
	return ExitCodeOf(err)
}

func newErrorOutput(err error, problems caproblem.List) errorOutput {
	output := errorOutput{Kind: cakind.Of(err), Message: err.Error()}
	for _, p := range problems {
		output.Problems = append(output.Problems, problemOutput{
			File: p.At.File, Line: p.At.Line, Column: p.At.Column, Path: p.Path, Reason: p.Reason,
		})
	}
	return output
}

func (c command) printf(format string, args ...any) {
	fmt.Fprintf(c.Stdout, format, args...)
}

// print writes the value with --json and the lines without it.
func (c command) print(value any, lines ...string) {
	if c.options.JSON {
		c.printJSON(value)
		return
	}
	for _, l := range lines {
		fmt.Fprintln(c.Stdout, l)
	}
}

func (c command) printJSON(value any) {
	encoder := json.NewEncoder(c.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(value)
}
