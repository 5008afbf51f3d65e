package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of the entries. Each entry has a loopback address of its own.
const (
	frontPort   = 8183
	readyPort   = 8184
	controlPort = 8180
	storePort   = 8182
	workerPort  = 8080
)

// settingsText is the settings file of an entry, like that of a small deployment.
const settingsText = `Node = "front-%[1]s-%[2]d"
Role = "entry"
MachineClass = "front"
Serves = ["front","control"]
Ip = "%[3]s"
Zone = "%[1]s"
Region = "r"
InternalPorts = [7420,7435]
Seeds = [%[4]s]
Bootstrap = true
InTolerance = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
Orders = "call"
Advice = ""
[Zones]
a = "r"
b = "r"
c = "r"
[Listen]
Front = "%[3]s:8183"
Ready = "%[3]s:8184"
Control = "%[3]s:8180"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
FileDescriptors = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 6
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxStretchMs = 5000
StrictRevocation = false
RevokeMs = 5000
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaSlack = 20
RecoveryS = 12
MaxHoldMs = 10000
StopTimeoutMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
FarMultiplier = 3
CheckpointIntervalS = 1
RestoreMs = 250
NoticeMs = 4500
MigrationS = 1.5
MaintenanceS = 2
FencingRequired = true
LeaseMs = 3000
ThawSlackMs = 300
PaceMs = 100
HarmMs = 4000
[platform]
Address = "%[5]s:8182"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
IngressPerS = 20.0
EgressPerS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 20
PartitionMb = 200
MinTtlMs = 1000
[Cloud]
Address = "%[5]s:8189"
RatePerS = 60.0
Duties = []
DutiesPerS = 60.0
`

var zones = []string{"a", "b", "c"}

// node is an entry, which runs as a process of its own.
type node struct {
	index   int
	zone    string
	ip      string
	process *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// cell is a small deployment: entries as processes, and stand-ins of the store, the workers, the operator and
// the clients.
type cell struct {
	record  *record
	folder  string
	subnet  string
	program string
	store   *store
	nodes   []*node
	workers []*worker
	servers []*http.Server
	version int
	client  *http.Client
}

// options are what a case chooses of its cell.
type options struct {
	entries, workers int
	config           config
}

// config is a configuration as the operator writes it.
type config struct {
	Version  int
	Routes   []route
	Services []map[string]any
	Limits   map[string]int
	Tenants  []tenant
}

type route struct {
	Name, Host, PathPrefix, Kind string
	TimeoutMs, TargetLatencyMs   int
	Priority                     int
	Service                      string
	MaxAttempts                  int
	Stretch                      float64
	Public                       bool
}

type tenant struct {
	Name     string
	APIKeys  []string `json:"ApiKeys"`
	Priority int
	Weight   float64
	Cap      map[string]int
}

// newRoute returns a queue at a path of the only host.
func newRoute(name string) route {
	return route{
		Name: name, Host: hostName, PathPrefix: "/" + name + "/", Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 3000,
		Priority: 1, Service: "pool", MaxAttempts: 3, Stretch: 4,
	}
}

func newTenant(name string) tenant {
	return tenant{Name: name, APIKeys: []string{"key-of-" + name}, Priority: 1, Weight: 30, Cap: map[string]int{"Cpu": 0, "MemMb": 0, "Gpu": 0}}
}

const hostName = "jobs.example"

// configure writes the next version of a configuration.
func (c *cell) configure(next config) {
	c.version += 3
	next.Version = c.version
	next.Services = []map[string]any{{
		"Name": "pool", "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false,
	}}
	next.Limits = map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
	body, err := json.Marshal(next)
	if err != nil {
		panic(err)
	}
	c.store.put("keyed.op", "config", body)
	names := []string{}
	for _, r := range next.Routes {
		names = append(names, r.Name+" at "+r.PathPrefix)
	}
	c.record.add("the operator's configuration %d with the routes %v is acknowledged", next.Version, names)
}

// freeSubnet returns a loopback network whose addresses no other program uses.
func freeSubnet() string {
	for {
		subnet := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), rand.Intn(250))
		lis, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", subnet, storePort))
		if err == nil {
			_ = lis.Close()
			return subnet
		}
	}
}

// startCell starts a cell and waits until all entries are ready.
func startCell(r *record, program string, o options) (*cell, error) {
	folder, err := os.MkdirTemp("", "cell")
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	c := &cell{
		record: r, folder: folder, subnet: freeSubnet(), program: program, store: newStore(),
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}},
	}
	if err := c.serve(fmt.Sprintf("%s.1:%d", c.subnet, storePort), c.store.handler()); err != nil {
		return c, err
	}
	c.configure(o.config)
	for i := range o.workers {
		w := &worker{
			id: fmt.Sprintf("i-%04d", i), address: fmt.Sprintf("%s.%d:%d", c.subnet, 100+i, workerPort),
			zone: zones[i%len(zones)], labels: []string{"a", fmt.Sprintf("r1-%d", i/6)}, store: c.store, record: r,
		}
		c.workers = append(c.workers, w)
		if err := w.start(); err != nil {
			return c, err
		}
	}
	for i := range o.entries {
		n := &node{index: i, zone: zones[i%len(zones)], ip: fmt.Sprintf("%s.%d", c.subnet, 10+i)}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := c.startNode(n); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady(20 * time.Second)
}

func (c *cell) serve(address string, h http.Handler) error {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(lis) }()
	return nil
}

// startNode starts the process of an entry with the command of the deploy file.
func (c *cell) startNode(n *node) error {
	seeds := ""
	for i, seed := range c.nodes[:min(3, len(c.nodes))] {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", fmt.Sprintf("%s:%d", seed.ip, controlPort))
	}
	path := filepath.Join(c.folder, fmt.Sprintf("entry-%d.toml", n.index))
	text := fmt.Sprintf(settingsText, n.zone, n.index, n.ip, seeds, c.subnet+".1")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.folder, fmt.Sprintf("entry-%d.log", n.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(c.program, "node", "--metrics=9180")
	n.process.Env = []string{"CELERYARCH_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	n.process.Stdout, n.process.Stderr = log, log
	if err := n.process.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func() {
		_ = n.process.Wait()
		close(n.ended)
	}()
	c.record.add("entry %d starts", n.index)
	return nil
}

// signal sends a signal to the process of an entry.
func (c *cell) signal(n *node, s syscall.Signal) {
	c.record.add("entry %d gets signal %v", n.index, s)
	_ = n.process.Process.Signal(s)
}

// awaitReady waits until all entries report themselves ready.
func (c *cell) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, n := range c.nodes {
		for !c.isReady(n) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready after %v", n.index, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.record.add("all entries are ready")
	return nil
}

func (c *cell) isReady(n *node) bool {
	response, err := c.client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all that the cell has started.
func (c *cell) close() {
	for _, n := range c.nodes {
		if n.process == nil || n.process.Process == nil {
			continue
		}
		_ = n.process.Process.Signal(syscall.SIGCONT)
		_ = n.process.Process.Kill()
		if n.ended != nil {
			<-n.ended
		}
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	for _, w := range c.workers {
		w.mu.Lock()
		server := w.server
		w.mu.Unlock()
		if server != nil {
			_ = server.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	}
}

// clientDeadline is how long clients wait for an answer.
const clientDeadline = 3 * time.Second

// answer is what a client gets. Status is zero if there was no answer.
type answer struct {
	status int
	state  string
	err    error
}

// call makes one call of a client to an entry and records it.
func (c *cell) call(n *node, method, prefix, id, key string, body any) answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	var payload []byte
	if body != nil {
		payload, _ = json.Marshal(body)
	}
	a := c.do(ctx, n, method, prefix+id, key, payload)
	if a.err != nil {
		c.record.add("client (%s): %s %s%s at entry %d: no answer (%v)", key, method, prefix, id, n.index, errors.Unwrap(a.err))
	} else {
		c.record.add("client (%s): %s %s%s at entry %d: %d %s", key, method, prefix, id, n.index, a.status, a.state)
	}
	return a
}

func (c *cell) do(ctx context.Context, n *node, method, path, key string, payload []byte) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front()+path, bytes.NewReader(payload))
	if err != nil {
		return answer{err: err}
	}
	request.Host = hostName
	if key != "" {
		request.Header.Set("Api-Key", key)
	}
	request.Header.Set("X-Celeryarch-Deadline-Remaining", fmt.Sprint(clientDeadline.Milliseconds()))
	if payload != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	b, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	var state struct{ State string }
	_ = json.Unmarshal(b, &state)
	return answer{status: response.StatusCode, state: state.State}
}

// job is the body of a submission.
type job struct {
	Spec  string
	Steps []step
}

type step struct {
	Count         int
	Cpu           int
	MemMb         int
	EstimatedMs   int    `json:",omitempty"`
	After         []int  `json:",omitempty"`
	Affinity      string `json:",omitempty"`
	Checkpointing bool   `json:",omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in and repeats that for some seconds until it is accepted.
func (c *cell) submit(n *node, prefix, id, key string, j job) bool {
	for range 5 {
		if a := c.call(n, http.MethodPost, prefix, id, key, j); a.status == http.StatusOK {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// cancel cancels a job and repeats that until it is answered.
func (c *cell) cancel(n *node, prefix, id, key string) bool {
	for range 5 {
		a := c.call(n, http.MethodDelete, prefix, id, key, nil)
		if a.status == http.StatusOK || a.status == http.StatusGone {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// running counts the tasks of a job that are at work.
func (c *cell) running(id string) int {
	count := 0
	for _, w := range c.workers {
		w.mu.Lock()
		for task := range w.running {
			if strings.HasPrefix(task, id+".") {
				count++
			}
		}
		w.mu.Unlock()
	}
	return count
}
