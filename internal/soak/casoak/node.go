package casoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/platform"
)

const (
	// Ports of a node, on an address of its own.
	portFront   = 7101
	portReady   = 7102
	portControl = 7103
	// portPeerProxy is where a proxy takes calls of other nodes.
	portPeerProxy = 7104
	// portStoreProxy is where a proxy takes calls of the node to the store.
	portStoreProxy = 7105
	// stopGraceSeconds is how long a node may run after it was told to stop.
	stopGraceSeconds = 4
	// readyPollInterval is the time between two looks whether a node is ready.
	readyPollInterval = 50 * time.Millisecond
)

// node is one entry that runs as a process of its own, with proxies on its
// ways.
type node struct {
	name     string
	ip       string
	settingsPath string
	program  []string
	env      []string
	storeProxy    *Proxy
	peerProxy    *Proxy
	logFile      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// unexpectedExits counts the processes that ended without being told to.
	unexpectedExits int
	stopRequested bool
	// downFaults counts the faults that keep the process away.
	downFaults int
	// resumedAt is when the process last went on after it was stopped.
	resumedAt time.Time
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// newNode prepares a node: its proxies and its settings file.
func newNode(dir, ip, name, store, advisor string, seeds []string, program, env []string) (*node, error) {
	n := &node{name: name, ip: ip, program: program, env: env, settingsPath: filepath.Join(dir, name+".toml")}
	var err error
	if n.storeProxy, err = NewProxy(n.address(portStoreProxy), store); err != nil {
		return nil, err
	}
	if n.peerProxy, err = NewProxy(n.address(portPeerProxy), n.address(portControl)); err != nil {
		return nil, err
	}
	if n.logFile, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	settings := platform.EmulatedSettings{
		VM: name, Zone: "zone", IP: ip, Front: n.address(portFront), Ready: n.address(portReady),
		Control: n.address(portControl), Store: n.storeProxy.Address(), Advisor: advisor, Seeds: seeds, GraceS: stopGraceSeconds,
	}
	return n, settings.Write(n.settingsPath)
}

// start begins a life of the process, unless one runs or a fault keeps it away.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || n.downFaults > 0 {
		return nil
	}
	arguments := append(n.program[1:], "node", "--settings="+n.settingsPath, "--advertise="+n.peerProxy.Address())
	cmd := exec.Command(n.program[0], arguments...)
	cmd.Env = append(os.Environ(), n.env...)
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	if err := cmd.Start(); err != nil {
		return cakind.Wrap(cakind.KindInternal, err, "start %s", n.name)
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.stopRequested = cmd, exited, false
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.stopRequested {
			n.unexpectedExits++
			fmt.Fprintf(n.logFile, "the process ended by itself: %v\n", err)
		}
		n.cmd = nil
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs. One that ends it is told.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.stopRequested = true
	}
	// An error means that the process has just ended, which Wait notes.
	_ = n.cmd.Process.Signal(s)
}

// resume lets the process go on.
func (n *node) resume() {
	n.signal(syscall.SIGCONT)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resumedAt = time.Now()
}

// resumedSince reports whether the process may have been stopped since the time.
func (n *node) resumedSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumedAt.After(since)
}

// awaitExit waits until the process has ended.
func (n *node) awaitExit() {
	n.mu.Lock()
	exited, runs := n.exited, n.cmd != nil
	n.mu.Unlock()
	if runs {
		<-exited
	}
}

// beginDown ends the process with the signal, until allowed is called as often.
func (n *node) beginDown(s syscall.Signal) {
	n.mu.Lock()
	n.downFaults++
	n.mu.Unlock()
	n.signal(s)
}

// endDown ends the fault that kept the process away. A process that was told to
// stop is waited for, and killed when its grace period is over.
func (n *node) endDown() error {
	n.resume()
	n.mu.Lock()
	n.downFaults--
	stopping, exited := n.stopRequested && n.cmd != nil, n.exited
	n.mu.Unlock()
	if stopping {
		select {
		case <-exited:
		case <-time.After((stopGraceSeconds + 1) * time.Second):
			return cakind.New(cakind.KindInternal, "%s runs on after its grace period", n.name)
		}
	}
	return n.start()
}

// awaitReady waits until the node says that it can serve.
func (n *node) awaitReady(ctx context.Context, timer *catimer.Service) error {
	for {
		response, err := http.Get("http://" + n.address(portReady))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if err := timer.Pause(ctx, readyPollInterval); err != nil {
			return cakind.Wrap(cakind.KindUnavailable, err, "%s is not ready", n.name)
		}
	}
}

// close ends the process and the proxies.
func (n *node) close() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.awaitExit()
	n.storeProxy.Close()
	n.peerProxy.Close()
	_ = n.logFile.Close()
}

// unexpectedExitCount returns how many processes ended without being told to.
func (n *node) unexpectedExitCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unexpectedExits
}

// loopbackIP returns the address of a node: runs at the same time differ in the
// second and third byte.
func loopbackIP(run, node int) string {
	const perByte = 250
	return strings.Join([]string{"127", fmt.Sprint(1 + run/perByte%perByte), fmt.Sprint(1 + run%perByte), fmt.Sprint(1 + node)}, ".")
}
