package casoak

import (
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

const (
	// initializationTrace makes a process print each package that it has initialized.
	initializationTrace = "GODEBUG=inittrace=1"
	// initializationPollInterval is the time between two looks at the log of a process that starts.
	initializationPollInterval = time.Millisecond
	// maxTraceBytes is the part of the log of a process that may hold the trace of its initialization.
	maxTraceBytes = 1 << 20
)

// lastInitialized returns the beginning of the line that the program prints when it has initialized its
// last package.
func lastInitialized(ctx context.Context, program []string, env []string) (string, error) {
	cmd := exec.CommandContext(ctx, program[0], append(program[1:len(program):len(program)], "--version")...)
	cmd.Env = append(append(os.Environ(), env...), initializationTrace)
	output, err := cmd.CombinedOutput()
	if err != nil {
		return "", cakind.Wrap(cakind.KindInternal, err, "trace the initialization of %s", program[0])
	}
	last := ""
	for line := range strings.Lines(string(output)) {
		if name, _, ok := strings.Cut(line, " @"); ok && strings.HasPrefix(name, "init ") {
			last = name + " @"
		}
	}
	return last, nil
}

// traceInitialization makes the processes of a node print when they are initialized.
func (n *node) traceInitialization(ctx context.Context) error {
	for _, program := range n.programs {
		last, err := lastInitialized(ctx, program, n.env)
		if err != nil {
			return err
		}
		n.lastInitialized = append(n.lastInitialized, last)
	}
	n.env = append(n.env[:len(n.env):len(n.env)], initializationTrace)
	return nil
}

// signalInitialized sends a signal to the process once it is initialized: before that, no process
// can handle a signal.
func (n *node) signalInitialized(s syscall.Signal) error {
	n.mu.Lock()
	exited, runs := n.exited, n.cmd != nil
	n.mu.Unlock()
	for runs {
		isInitialized, err := n.isInitialized()
		if err != nil {
			return err
		}
		if isInitialized {
			n.signal(s)
			return nil
		}
		select {
		case <-exited:
			return nil
		case <-time.After(initializationPollInterval):
		}
	}
	return nil
}

// isInitialized reports whether the process has printed that its last package is initialized.
func (n *node) isInitialized() (bool, error) {
	n.mu.Lock()
	from, mark := n.logStart, n.lastInitialized[(n.starts-1)%len(n.programs)]
	n.mu.Unlock()
	log, err := os.Open(n.logFile.Name())
	if err != nil {
		return false, cakind.Wrap(cakind.KindInternal, err, "read the log of %s", n.name)
	}
	defer func() { _ = log.Close() }()
	text, err := io.ReadAll(io.NewSectionReader(log, from, maxTraceBytes))
	if err != nil {
		return false, cakind.Wrap(cakind.KindInternal, err, "read the log of %s", n.name)
	}
	return bytes.Contains(text, []byte(mark)), nil
}
