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
	upstreamSizes = []int{4, 20, 80, 200}
	listSizes     = []int{59, 300, 935}
	changeSizes   = []int{0, 4, 16, 64}
	bodySizes     = []int{6, 22, 60}
)

var platformFigures = []figure{
	{"heartbeats of all owned upstreams", "bytes", upstreamSizes, heartbeatBytes},
	{"heartbeats of all owned upstreams with their agents", "us", upstreamSizes, heartbeatTime},
	{"one heartbeat with changed tasks", "bytes", changeSizes, changedBytes},
	{"one read of the list of VMs", "bytes", listSizes, listBytes},
	{"one read of the list of VMs with its service", "us", listSizes, listTime},
	{"one read of the log without news with its service", "us", []int{1, 8, 64}, pollTime},
	{"reads of the log without news", "bytes", []int{1, 8, 64}, pollBytes},
	{"one change of configuration with so many teams read", "bytes", bodySizes, changeBytes},
}

// counted is a connection that counts its bytes in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// client returns a control client and the bytes that its connections carry,
// headers of HTTP included and those of TCP not.
func client(b *testing.B) (*http.Client, *atomic.Int64) {
	b.Helper()
	var bytes atomic.Int64
	c := cahttp.NewClient(time.Minute)
	transport := c.Transport.(*http.Transport)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return counted{conn, &bytes}, err
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

const running = 4

// owned returns the agents of upstreams that run four tasks each, all claimed.
func owned(b *testing.B, n, tasks int) ([]caplatform.Agent, *atomic.Int64) {
	b.Helper()
	c, bytes := client(b)
	agents := make([]caplatform.Agent, n)
	for i := range agents {
		up := castandup.NewUpstream(time.Now, vm(i))
		address := serve(b, func(mux *http.ServeMux) { cahttp.ServeAgent(mux, up) })
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

func beat(b *testing.B, a caplatform.Agent, since int64) int64 {
	b.Helper()
	h := caplatform.Heartbeat{Holder: "entry-01", Epoch: 1, TTL: time.Hour, TaskTTL: time.Hour, Since: since}
	return must[caplatform.HeartbeatResult](b)(a.Heartbeat(b.Context(), h)).Sequence
}

// repeat sends each agent the heartbeat that follows one without news.
func repeat(b *testing.B, agents []caplatform.Agent) {
	b.Helper()
	for _, a := range agents {
		beat(b, a, running)
	}
}

// heartbeatBytes waits for a second, after which an answer has a new date.
func heartbeatBytes(b *testing.B, n int) float64 {
	agents, bytes := owned(b, n, running)
	repeat(b, agents)
	time.Sleep(time.Second)
	before := bytes.Load()
	repeat(b, agents)
	return float64(bytes.Load() - before)
}

func heartbeatTime(b *testing.B, n int) float64 {
	agents, _ := owned(b, n, running)
	repeat(b, agents)
	return microseconds(2000/n+5, func() { repeat(b, agents) })
}

func changedBytes(b *testing.B, tasks int) float64 {
	agents, bytes := owned(b, 1, tasks)
	before := bytes.Load()
	beat(b, agents[0], 0)
	return float64(bytes.Load() - before)
}

func list(b *testing.B, n int) (*cahttp.VMList, *atomic.Int64) {
	b.Helper()
	var vms []caplatform.VM
	for i := range n {
		vms = append(vms, vm(i))
	}
	c, bytes := client(b)
	source := castandvm.NewList(time.Now, 0, vms)
	address := serve(b, func(mux *http.ServeMux) { cahttp.ServeVMList(mux, source) })
	l := cahttp.NewVMList(c, "http://"+address)
	must[[]caplatform.VM](b)(l.List(b.Context()))
	return l, bytes
}

func listBytes(b *testing.B, n int) float64 {
	l, bytes := list(b, n)
	before := bytes.Load()
	must[[]caplatform.VM](b)(l.List(b.Context()))
	return float64(bytes.Load() - before)
}

func listTime(b *testing.B, n int) float64 {
	l, _ := list(b, n)
	return microseconds(200, func() { must[[]caplatform.VM](b)(l.List(b.Context())) })
}

func logService(b *testing.B) (*cahttp.Log, *atomic.Int64) {
	b.Helper()
	c, bytes := client(b)
	kept := castandlog.NewLog(time.Now, time.Hour)
	address := serve(b, func(mux *http.ServeMux) { cahttp.ServeLog(mux, kept) })
	return cahttp.NewLog(c, "http://"+address), bytes
}

func poll(b *testing.B, l caplatform.Log, times int) {
	b.Helper()
	for range times {
		must[caplatform.Page](b)(l.Read(b.Context(), "config", 0, 64))
	}
}

func pollBytes(b *testing.B, times int) float64 {
	l, bytes := logService(b)
	poll(b, l, times)
	return float64(bytes.Load())
}

func pollTime(b *testing.B, times int) float64 {
	l, _ := logService(b)
	return microseconds(20, func() { poll(b, l, times) })
}

// changeBytes reads one change whose body has a share and a limit for each
// team.
func changeBytes(b *testing.B, teams int) float64 {
	var body []byte
	for i := range teams {
		body = fmt.Appendf(body, "    \"team-%02d\": {\n      \"share\": 30,\n      \"limit\": "+
			"{\"processors\": 480, \"memory\": \"960GiB\", \"accelerators\": 0}\n    },\n", i)
	}
	l, bytes := logService(b)
	must[caplatform.Offset](b)(l.Append(b.Context(), "config", [][]byte{body}))
	before := bytes.Load()
	poll(b, l, 1)
	return float64(bytes.Load() - before)
}
