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
	// portPeers is where a proxy takes calls of other nodes.
	portPeers = 7104
	// portStore is where a proxy takes calls of the node to the store.
	portStore = 7105
	// graceSeconds is how long a node may run after it was told to stop.
	graceSeconds = 4
	// readyPeriod is the time between two looks whether a node is ready.
	readyPeriod = 50 * time.Millisecond
)

// node is one entry that runs as a process of its own, with proxies on its
// ways.
type node struct {
	name     string
	ip       string
	settings string
	program  []string
	env      []string
	store    *Proxy
	peers    *Proxy
	log      *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// ends counts the processes that ended without being told to.
	ends int
	told bool
	// down counts the faults that keep the process away.
	down int
	// thawedAt is when the process last went on after it was stopped.
	thawedAt time.Time
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// newNode prepares a node: its proxies and its settings file.
func newNode(dir, ip, name, store, advisor string, seeds []string, program, env []string) (*node, error) {
	n := &node{name: name, ip: ip, program: program, env: env, settings: filepath.Join(dir, name+".toml")}
	var err error
	if n.store, err = NewProxy(n.address(portStore), store); err != nil {
		return nil, err
	}
	if n.peers, err = NewProxy(n.address(portPeers), n.address(portControl)); err != nil {
		return nil, err
	}
	if n.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	settings := platform.EmulatedSettings{
		VM: name, Zone: "zone", IP: ip, Front: n.address(portFront), Ready: n.address(portReady),
		Control: n.address(portControl), Store: n.store.Address(), Advisor: advisor, Seeds: seeds, GraceS: graceSeconds,
	}
	return n, settings.Write(n.settings)
}

// start begins a life of the process, unless one runs or a fault keeps it away.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil || n.down > 0 {
		return nil
	}
	arguments := append(n.program[1:], "node", "--settings="+n.settings, "--advertise="+n.peers.Address())
	cmd := exec.Command(n.program[0], arguments...)
	cmd.Env = append(os.Environ(), n.env...)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return cakind.Wrap(cakind.KindInternal, err, "start %s", n.name)
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.told = cmd, exited, false
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.told {
			n.ends++
			fmt.Fprintf(n.log, "the process ended by itself: %v\n", err)
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
		n.told = true
	}
	// An error means that the process has just ended, which Wait notes.
	_ = n.cmd.Process.Signal(s)
}

// thaw lets the process go on.
func (n *node) thaw() {
	n.signal(syscall.SIGCONT)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thawedAt = time.Now()
}

// wasStopped reports whether the process may have been stopped since the time.
func (n *node) wasStopped(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.thawedAt.After(since)
}

// await waits until the process has ended.
func (n *node) await() {
	n.mu.Lock()
	exited, runs := n.exited, n.cmd != nil
	n.mu.Unlock()
	if runs {
		<-exited
	}
}

// keepDown ends the process with the signal, until allowed is called as often.
func (n *node) keepDown(s syscall.Signal) {
	n.mu.Lock()
	n.down++
	n.mu.Unlock()
	n.signal(s)
}

// allow ends the fault that kept the process away. A process that was told to
// stop is waited for, and killed when its grace period is over.
func (n *node) allow() error {
	n.thaw()
	n.mu.Lock()
	n.down--
	told, exited := n.told && n.cmd != nil, n.exited
	n.mu.Unlock()
	if told {
		select {
		case <-exited:
		case <-time.After((graceSeconds + 1) * time.Second):
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
		if err := timer.Pause(ctx, readyPeriod); err != nil {
			return cakind.Wrap(cakind.KindUnavailable, err, "%s is not ready", n.name)
		}
	}
}

// close ends the process and the proxies.
func (n *node) close() {
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	n.await()
	n.store.Close()
	n.peers.Close()
	_ = n.log.Close()
}

// endedAlone returns how many processes ended without being told to.
func (n *node) endedAlone() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ends
}

// loopbackOf returns the address of a node: runs at the same time differ in the
// second and third byte.
func loopbackOf(run, node int) string {
	const perByte = 250
	return strings.Join([]string{"127", fmt.Sprint(1 + run/perByte%perByte), fmt.Sprint(1 + run%perByte), fmt.Sprint(1 + node)}, ".")
}
