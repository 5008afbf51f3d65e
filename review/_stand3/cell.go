package main

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// current is the cell whose processes end with this one.
var current *cell

func fatal(err error) {
	if err != nil {
		log.Print(err)
		if current != nil {
			current.stop()
		}
		os.Exit(exitCannotRun)
	}
}

// cell is a small deployment: entries as processes, and the stand-ins around them.
type cell struct {
	ip      string
	dir     string
	store   *store
	client  *http.Client
	began   time.Time
	entries []*entry
	// linkMbps is the bandwidth of the links of entries in their settings, in Mbit/s.
	linkMbps string

	// processes guards the starts of processes, and stopped is set when there are no more.
	processes sync.Mutex
	stopped   bool

	mu     sync.Mutex
	out    io.Writer
	counts map[string]int
	onRun  func(w *worker, o orderBody)
}

// entry is a process of the system.
type entry struct {
	cell     *cell
	name, ip string
	door     *storeDoor
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// newCell returns a cell that writes what happens to record.txt in the folder.
func newCell(recordDir string) *cell {
	out, err := os.Create(filepath.Join(recordDir, "record.txt"))
	fatal(err)
	dir, err := os.MkdirTemp("", "stand3")
	fatal(err)
	ip := fmt.Sprintf("127.%d.%d.1", 20+rand.Intn(200), 1+rand.Intn(250))
	transport := &http.Transport{MaxIdleConnsPerHost: 4, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &cell{
		ip: ip, dir: dir, store: newStore(), client: &http.Client{Transport: transport},
		linkMbps: "1000.0", began: time.Now(), out: io.MultiWriter(out, os.Stdout), counts: make(map[string]int),
	}
}

func (c *cell) record(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.out, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// started counts a start and tells the case.
func (c *cell) started(w *worker, o orderBody) {
	c.mu.Lock()
	c.counts["starts "+jobOf(o.Task)]++
	onRun := c.onRun
	c.mu.Unlock()
	if onRun != nil {
		go onRun(w, o)
	}
}

// ended counts an end.
func (c *cell) ended(task string, _ int, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[how+" "+jobOf(task)]++
}

func (c *cell) count(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[name]
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// configure writes a configuration.
func (c *cell) configure(version int, change func(config map[string]any)) {
	config := map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "queue-1", "Host": "desk.example", "PathPrefix": "/jobs/", "Service": "desk", "Priority": 1,
			"MaxAttempts": 4, "Stretch": 4.0, "TargetLatencyMs": 3000, "TimeoutMs": 3000,
		}},
		"Services": []map[string]any{{"Name": "desk", "HealthPath": "/health", "AdmissionCheck": false}},
		"Tenants": []map[string]any{{
			"Name": "tenant-1", "ApiKeys": []string{"key-1"}, "Weight": 20.0, "Cap": map[string]int{"Cpu": 0, "MemMb": 0, "Gpu": 0},
		}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	}
	if change != nil {
		change(config)
	}
	b, err := json.Marshal(config)
	fatal(err)
	c.store.put("keyed.op/0", "config", b)
	c.record("configuration %d is acknowledged", version)
}

const settingsText = `Node = "%[1]s"
Role = "entry"
MachineClass = "front"
Serves = ["front","control"]
Ip = "%[2]s"
Zone = "zone-a"
Region = "region"
InternalPorts = [7420,7435]
Seeds = [%[3]s]
Bootstrap = true
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
Orders = "call"
[Zones]
zone-a = "region"
[Listen]
Front = "%[2]s:8183"
Ready = "%[2]s:8184"
Control = "%[2]s:8180"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
FileDescriptors = 4200
LinkMbps = %[5]s
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
RecoveryS = 12
MaxHoldMs = 10000
StopTimeoutMs = 900
GangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
[platform]
Address = "%[4]s"
form = "log"
WritesPerS = 800
ReadsPerS = 2000
parts = 8
AppendMs = 4.0
IngressPerS = 20.0
EgressPerS = 80.0
RecordBytes = 262144
CallBytes = 2097152
keep_s = 300
PartitionMb = 200
MinTtlMs = 1000
`

// startEntries starts so many entries and waits until they are ready.
func (c *cell) startEntries(n int) {
	base := strings.TrimSuffix(c.ip, "1")
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:8180", base, 10+i)))
	}
	for i := range n {
		e := &entry{cell: c, name: fmt.Sprintf("entry-%d", i+1), ip: fmt.Sprintf("%s%d", base, 10+i), door: &storeDoor{store: c.store}}
		e.settings = filepath.Join(c.dir, e.name+".toml")
		text := fmt.Sprintf(settingsText, e.name, e.ip, strings.Join(seeds, ","), e.door.listen(c.ip), c.linkMbps)
		fatal(os.WriteFile(e.settings, []byte(text), 0o600))
		c.entries = append(c.entries, e)
		e.start()
	}
	for _, e := range c.entries {
		e.awaitReady()
	}
}

// start starts the process with the command of the deploy file.
func (e *entry) start() {
	e.cell.processes.Lock()
	defer e.cell.processes.Unlock()
	if e.cell.stopped {
		return
	}
	e.cmd = exec.Command("target/celeryarch", "node", "--metrics=9180")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CELERYARCH_NODE_FILE=" + e.settings}
	logFile, err := os.OpenFile(filepath.Join(e.cell.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		log.Print(err)
		os.Exit(exitCannotRun)
	}
	e.cmd.Stdout, e.cmd.Stderr = logFile, logFile
	if err := e.cmd.Start(); err != nil {
		log.Print(err)
		os.Exit(exitCannotRun)
	}
	e.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		e.cell.record("process of %s ended: %v", e.name, err)
		close(done)
	}(e.cmd, e.done)
}

func (e *entry) signal(s syscall.Signal) {
	e.cell.record("%s gets signal %v", e.name, s)
	_ = e.cmd.Process.Signal(s)
}

// hasEnded reports whether the process has ended.
func (e *entry) hasEnded() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *entry) awaitReady() {
	const timeout = 15 * time.Second
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(50 * time.Millisecond) {
		response, err := e.cell.client.Get("http://" + e.ip + ":8184/v1/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			e.cell.record("%s is ready", e.name)
			return
		}
	}
	fatal(fmt.Errorf("%s is not ready", e.name))
}

// peakMB returns the largest memory that the process had resident, in MB.
func (e *entry) peakMB() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmHWM: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// stop ends all processes.
func (c *cell) stop() {
	c.processes.Lock()
	c.stopped = true
	c.processes.Unlock()
	for _, e := range c.entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.done
	}
	_ = os.RemoveAll(c.dir)
}

// call makes a call of a client at an entry. The status is zero without an answer.
func (c *cell) call(e *entry, method, path string, body any, timeout time.Duration) (status int, answer []byte) {
	return c.callAs("key-1", e, method, path, body, timeout)
}

// callAs is call with the key of another tenant.
func (c *cell) callAs(key string, e *entry, method, path string, body any, timeout time.Duration) (status int, answer []byte) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		fatal(err)
		reader = strings.NewReader(string(b))
	}
	request, err := http.NewRequest(method, "http://"+e.ip+":8183"+path, reader)
	fatal(err)
	request.Host = "desk.example"
	request.Header.Set("Api-Key", key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Celeryarch-Deadline-Remaining", fmt.Sprint(timeout.Milliseconds()))
	client := *c.client
	client.Timeout = timeout
	response, err := client.Do(request)
	if err != nil {
		c.record("client: %s %s at %s: no answer: %v", method, path, e.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ = io.ReadAll(response.Body)
	shown := strings.TrimSpace(string(answer))
	c.record("client: %s %s at %s: %d %.200s", method, path, e.name, response.StatusCode, shown)
	return response.StatusCode, answer
}

// step is a step of a job.
type step map[string]any

// job returns the body of a job.
func job(s spec, steps ...step) map[string]any {
	b, err := json.Marshal(s)
	fatal(err)
	return map[string]any{"Spec": string(b), "Steps": steps}
}

// state asks an entry for the state of a job, "" if it is not told.
func (c *cell) state(e *entry, id string) string { return c.stateAs("key-1", e, id) }

func (c *cell) stateAs(key string, e *entry, id string) string {
	status, answer := c.callAs(key, e, http.MethodGet, "/jobs/"+id, nil, 3*time.Second)
	if status != http.StatusOK {
		return fmt.Sprint(status)
	}
	var body struct{ State string }
	_ = json.Unmarshal(answer, &body)
	return body.State
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
