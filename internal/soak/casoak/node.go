package casoak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/soak/caproxy"
	"celeryarch.example/celeryarch/platform"
)

const (
	// Ports on the node's own loopback address.
	portFront   = 7101
	portReady   = 7102
	portControl = 7103
	// portPeerProxy is the port of the proxy for calls from other nodes.
	portPeerProxy = 7104
	// portStoreProxy is the port of the proxy for the node's calls to the store.
	portStoreProxy = 7105
	// stopGraceSeconds is the grace period of a node after a request to stop.
	stopGraceSeconds = 4
	// readyPollInterval is the time between two readiness checks.
	readyPollInterval = 50 * time.Millisecond
)

// node is an entry in its own process, with proxies for its connections to the
// store and from its peers.
type node struct {
	name         string
	ip           string
	zone         string
	settingsPath string
	// programs are the command lines that the starts of the process take in turn.
	programs [][]string
	starts   int
	env      []string
	// lastInitialized begins the line that each of the programs prints when it is initialized, and
	// logStart is where the log of the process begins.
	lastInitialized []string
	logStart        int64
	storeProxy      *caproxy.Proxy
	peerProxy       *caproxy.Proxy
	logFile         *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// unexpectedExits counts the processes that exited without a request to stop.
	unexpectedExits int
	stopRequested   bool
	// downFaults counts the active faults that keep the process from running.
	downFaults int
	// resumedAt is the time of the last SIGCONT.
	resumedAt time.Time
	// startedAt is when the process started, and signals are those that it got since.
	startedAt time.Time
	signals   []sentSignal
}

// sentSignal is a signal with its time.
type sentSignal struct {
	signal syscall.Signal
	at     time.Time
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// nodeServices are the addresses that a node is given.
type nodeServices struct {
	store, advisor string
	seeds          []string
}

// newNode creates the proxies and the settings file of a node. The caller sets its programs and env.
func newNode(dir, ip, name, zone string, services nodeServices) (*node, error) {
	n := &node{name: name, ip: ip, zone: zone, settingsPath: filepath.Join(dir, name+".toml")}
	var err error
	if n.storeProxy, err = caproxy.New(n.address(portStoreProxy), services.store); err != nil {
		return nil, err
	}
	if n.peerProxy, err = caproxy.New(n.address(portPeerProxy), n.address(portControl)); err != nil {
		return nil, err
	}
	if n.logFile, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	settings := platform.EmulatorSettings{
		VM: name, Zone: zone, IP: ip, Front: n.address(portFront), Ready: n.address(portReady),
		Control: n.address(portControl), Store: n.storeProxy.Address(), Advisor: services.advisor, Seeds: services.seeds, GraceS: stopGraceSeconds,
	}
	return n, settings.Write(n.settingsPath)
}

// start starts the process unless it is running or an active fault keeps it down.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || n.downFaults > 0 {
		return nil
	}
	log, err := n.logFile.Stat()
	if err != nil {
		return cakind.Wrap(cakind.KindInternal, err, "start %s", n.name)
	}
	n.logStart = log.Size()
	program := n.programs[n.starts%len(n.programs)]
	n.starts++
	arguments := append(slices.Clone(program[1:]), "node", "--settings="+n.settingsPath, "--advertise="+n.peerProxy.Address())
	cmd := exec.Command(program[0], arguments...)
	cmd.Env = append(os.Environ(), n.env...)
	cmd.Stdout, cmd.Stderr = n.logFile, n.logFile
	if err := cmd.Start(); err != nil {
		return cakind.Wrap(cakind.KindInternal, err, "start %s", n.name)
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.stopRequested = cmd, exited, false
	n.startedAt, n.signals = time.Now(), nil
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.stopRequested || isHangup(cmd.ProcessState) {
			n.unexpectedExits++
			fmt.Fprintf(n.logFile, "the process exited unexpectedly: %v\n", err)
		}
		n.cmd = nil
		close(exited)
	}()
	return nil
}

// isHangup reports whether a process was ended by SIGHUP, which is no request to stop.
func isHangup(s *os.ProcessState) bool {
	status, ok := s.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGHUP
}

// signal sends a signal to the process if it is running. SIGKILL and SIGTERM count
// as a request to stop.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		n.stopRequested = true
	}
	n.signals = append(n.signals, sentSignal{signal: s, at: time.Now()})
	// An error means that the process has just exited; Wait reports that.
	_ = n.cmd.Process.Signal(s)
}

// resume continues a process stopped by SIGSTOP.
func (n *node) resume() {
	n.signal(syscall.SIGCONT)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resumedAt = time.Now()
}

// resumedSince reports whether the process was resumed after the time, and so may
// have been stopped in between.
func (n *node) resumedSince(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.resumedAt.After(since)
}

// awaitExit waits until the process has exited.
func (n *node) awaitExit() {
	n.mu.Lock()
	exited, runs := n.exited, n.cmd != nil
	n.mu.Unlock()
	if runs {
		<-exited
	}
}

// beginDown ends the process with the signal and keeps it down until each call of
// beginDown is matched by one of endDown.
func (n *node) beginDown(s syscall.Signal) {
	n.mu.Lock()
	n.downFaults++
	n.mu.Unlock()
	n.signal(s)
}

// killAfterGrace kills the process if it outlives its grace period from now on, and returns an error
// then.
func (n *node) killAfterGrace() error {
	n.mu.Lock()
	stopping, exited := n.cmd, n.exited
	n.mu.Unlock()
	if stopping == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(stopGraceSeconds * time.Second):
	}
	// An error means that the process has just exited.
	_ = stopping.Process.Kill()
	return cakind.New(cakind.KindInternal, "%s is still running after its grace period", n.name)
}

// endDown ends one fault that keeps the process down, and starts the process if
// none is left. It first waits for a process that was asked to stop, and returns
// an error if that outlives its grace period by a second.
func (n *node) endDown() error {
	n.resume()
	return n.endStop()
}

// endStop is endDown for a process that was not stopped by SIGSTOP.
func (n *node) endStop() error {
	n.mu.Lock()
	n.downFaults--
	stopping, exited := n.stopRequested && n.cmd != nil, n.exited
	n.mu.Unlock()
	if stopping {
		select {
		case <-exited:
		case <-time.After((stopGraceSeconds + 1) * time.Second):
			return cakind.New(cakind.KindInternal, "%s is still running after its grace period", n.name)
		}
	}
	return n.start()
}

// awaitReady polls the readiness endpoint of the node until it returns 200.
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

// history describes when the process started and which signals it got since.
func (n *node) history() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	text := fmt.Sprintf("%s, started %v ago", n.name, time.Since(n.startedAt).Round(time.Millisecond))
	for _, s := range n.signals {
		text += fmt.Sprintf(", %v %v ago", s.signal, time.Since(s.at).Round(time.Millisecond))
	}
	return text
}

// close kills the process and closes its proxies.
func (n *node) close() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.awaitExit()
	n.storeProxy.Close()
	n.peerProxy.Close()
	_ = n.logFile.Close()
}

// unexpectedExitCount returns the number of exits without a request to stop.
func (n *node) unexpectedExitCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unexpectedExits
}

// loopbackIP returns the loopback address of a node. The second and third byte
// keep concurrent runs apart.
func loopbackIP(run, node int) string {
	const perByte = 250
	return strings.Join([]string{"127", fmt.Sprint(1 + run/perByte%perByte), fmt.Sprint(1 + run%perByte), fmt.Sprint(1 + node)}, ".")
}
