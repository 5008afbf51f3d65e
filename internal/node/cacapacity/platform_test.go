package cacapacity_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/cahttp"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
	"celeryarch.example/celeryarch/internal/standin/castandup"
	"celeryarch.example/celeryarch/internal/standin/castandvm"
)

// The sizes at which the calls to the platform are measured.
var (
	upstreamCounts    = []int{4, 20, 80, 200}
	vmCounts          = []int{59, 300, 935}
	changedTaskCounts = []int{0, 4, 16, 64}
	configTeamCounts  = []int{6, 22, 60}
)

var platformMeasurements = []measurement{
	{"heartbeats of all owned upstreams", "bytes", upstreamCounts, heartbeatBytes},
	{"heartbeats of all owned upstreams with their agents", "us", upstreamCounts, heartbeatTime},
	{"one heartbeat with changed tasks", "bytes", changedTaskCounts, changedHeartbeatBytes},
	{"one read of the list of VMs", "bytes", vmCounts, vmListBytes},
	{"one read of the list of VMs with its service", "us", vmCounts, vmListTime},
	{"one read of the log without news with its service", "us", []int{1, 8, 64}, emptyReadTime},
	{"reads of the log without news", "bytes", []int{1, 8, 64}, emptyReadBytes},
	{"one change of configuration with so many teams read", "bytes", configTeamCounts, configChangeBytes},
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countingClient returns an HTTP client and a counter of the bytes that its
// connections transfer, including HTTP headers but not TCP headers.
func countingClient(b *testing.B) (*http.Client, *atomic.Int64) {
	b.Helper()
	var bytes atomic.Int64
	c := cahttp.NewClient(time.Minute)
	transport := c.Transport.(*http.Transport)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}
	b.Cleanup(c.CloseIdleConnections)
	return c, &bytes
}

func serve(b *testing.B, add func(mux *http.ServeMux)) string {
	b.Helper()
	mux := http.NewServeMux()
	add(mux)
	s := httptest.NewUnstartedServer(mux)
	s.Config.Protocols = cahttp.ServerProtocols()
	s.Start()
	b.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func vm(i int) caplatform.VM {
	return caplatform.VM{
		ID: cawork.VMID(fmt.Sprintf("upstream-%04d", i)), Role: caplatform.VMRoleUpstream,
		Zone: cawork.ZoneName(fmt.Sprintf("bergen-%c", 'a'+i%5)), Rack: cawork.RackName(fmt.Sprintf("rack-%02d", i%40)),
		Address: fmt.Sprintf("10.31.%d.%d:7200", i/250, i%250), Slots: 8, Connections: 64,
		Capacity:        cawork.Resources{CPU: cawork.Cores(16), Memory: 32 * cawork.GiB, Accelerators: 4},
		AcceleratorKind: "a100",
	}
}

func must[T any](b *testing.B) func(v T, err error) T {
	return func(v T, err error) T {
		b.Helper()
		if err != nil {
			b.Fatal(err)
		}
		return v
	}
}

const tasksPerUpstream = 4

// claimedAgents returns the agents of n claimed upstreams, each running the given
// number of tasks.
func claimedAgents(b *testing.B, n, tasks int) ([]caplatform.Agent, *atomic.Int64) {
	b.Helper()
	c, bytes := countingClient(b)
	agents := make([]caplatform.Agent, n)
	for i := range agents {
		upstream := castandup.NewUpstream(time.Now, vm(i))
		address := serve(b, func(mux *http.ServeMux) { cahttp.HandleAgent(mux, upstream) })
		agents[i] = cahttp.NewAgents(c).Agent(address)
		claim := caplatform.Claim{Holder: "entry-01", TTL: time.Hour}
		got := must[caplatform.ClaimResult](b)(agents[i].Claim(b.Context(), claim))
		for t := range tasks {
			must[caplatform.TaskStatus](b)(agents[i].Start(b.Context(), caplatform.Start{
				Epoch: got.Ownership.Epoch, Shard: "entry-01-1764800000000000000", View: 1, TTL: time.Hour,
				Attempt: cawork.AttemptID(fmt.Sprintf("entry-01-1764800000000000000.%d.%d", i, t)),
				Task:    cawork.TaskRef{Job: cawork.JobID(fmt.Sprintf("entry-01-1764800000000000000.%d", i)), Index: t},
				Team:    "nordtrikot", Kind: cawork.WorkKindBatch, Payload: []byte(`{"run_ms": 3600000}`),
				Size: cawork.Resources{CPU: cawork.Cores(1) / 8, Memory: cawork.GiB / 8},
			}))
		}
	}
	return agents, bytes
}

func sendHeartbeat(b *testing.B, a caplatform.Agent, since int64) int64 {
	b.Helper()
	h := caplatform.Heartbeat{Holder: "entry-01", Epoch: 1, TTL: time.Hour, TaskTTL: time.Hour, Since: since}
	return must[caplatform.HeartbeatResult](b)(a.Heartbeat(b.Context(), h)).Sequence
}

// sendHeartbeats sends each agent a heartbeat whose reply has no changed tasks.
func sendHeartbeats(b *testing.B, agents []caplatform.Agent) {
	b.Helper()
	for _, a := range agents {
		sendHeartbeat(b, a, tasksPerUpstream)
	}
}

// heartbeatBytes waits for a second before it measures, so that the replies have
// a new Date header.
func heartbeatBytes(b *testing.B, n int) float64 {
	agents, bytes := claimedAgents(b, n, tasksPerUpstream)
	sendHeartbeats(b, agents)
	time.Sleep(time.Second)
	before := bytes.Load()
	sendHeartbeats(b, agents)
	return float64(bytes.Load() - before)
}

func heartbeatTime(b *testing.B, n int) float64 {
	agents, _ := claimedAgents(b, n, tasksPerUpstream)
	sendHeartbeats(b, agents)
	return cpuMicroseconds(2000/n+5, func() { sendHeartbeats(b, agents) })
}

func changedHeartbeatBytes(b *testing.B, tasks int) float64 {
	agents, bytes := claimedAgents(b, 1, tasks)
	before := bytes.Load()
	sendHeartbeat(b, agents[0], 0)
	return float64(bytes.Load() - before)
}

func vmListClient(b *testing.B, n int) (*cahttp.VMList, *atomic.Int64) {
	b.Helper()
	var vms []caplatform.VM
	for i := range n {
		vms = append(vms, vm(i))
	}
	c, bytes := countingClient(b)
	source := castandvm.NewList(time.Now, 0, vms)
	address := serve(b, func(mux *http.ServeMux) { cahttp.HandleVMList(mux, source) })
	l := cahttp.NewVMList(c, "http://"+address)
	must[[]caplatform.VM](b)(l.List(b.Context()))
	return l, bytes
}

func vmListBytes(b *testing.B, n int) float64 {
	l, bytes := vmListClient(b, n)
	before := bytes.Load()
	must[[]caplatform.VM](b)(l.List(b.Context()))
	return float64(bytes.Load() - before)
}

func vmListTime(b *testing.B, n int) float64 {
	l, _ := vmListClient(b, n)
	return cpuMicroseconds(200, func() { must[[]caplatform.VM](b)(l.List(b.Context())) })
}

func logClient(b *testing.B) (*cahttp.Log, *atomic.Int64) {
	b.Helper()
	c, bytes := countingClient(b)
	log := castandlog.NewLog(time.Now, time.Hour)
	address := serve(b, func(mux *http.ServeMux) { cahttp.HandleLog(mux, log) })
	return cahttp.NewLog(c, "http://"+address), bytes
}

func readLog(b *testing.B, l caplatform.Log, times int) {
	b.Helper()
	for range times {
		must[caplatform.Page](b)(l.Read(b.Context(), "config", 0, 64))
	}
}

func emptyReadBytes(b *testing.B, times int) float64 {
	l, bytes := logClient(b)
	readLog(b, l, times)
	return float64(bytes.Load())
}

func emptyReadTime(b *testing.B, times int) float64 {
	l, _ := logClient(b)
	return cpuMicroseconds(20, func() { readLog(b, l, times) })
}

// configChangeBytes measures a read of one configuration change whose body has a
// share and a limit for each team.
func configChangeBytes(b *testing.B, teams int) float64 {
	var body []byte
	for i := range teams {
		body = fmt.Appendf(body, "    \"team-%02d\": {\n      \"share\": 30,\n      \"limit\": "+
			"{\"processors\": 480, \"memory\": \"960GiB\", \"accelerators\": 0}\n    },\n", i)
	}
	l, bytes := logClient(b)
	must[caplatform.Offset](b)(l.Append(b.Context(), "config", [][]byte{body}))
	before := bytes.Load()
	readLog(b, l, 1)
	return float64(bytes.Load() - before)
}
