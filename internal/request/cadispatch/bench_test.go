package cadispatch_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/caadmit"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caload"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// The benchmarks start the entry and the fake upstreams as separate processes
// of the test binary, so that the memory and CPU time of each can be measured.
const (
	envRole      = "CADISPATCH_BENCH_ROLE"
	envUpstreams = "CADISPATCH_BENCH_UPSTREAMS"
	envService   = "CADISPATCH_BENCH_SERVICE"
	envFault     = "CADISPATCH_BENCH_FAULT"
	envSlots     = "CADISPATCH_BENCH_SLOTS"
	envMaxBytes  = "CADISPATCH_BENCH_MAX_BYTES"
	headerTeam   = "X-Team"

	// unboundedSlots is the slot count of upstreams that never refuse a request,
	// because their callers do not bound their concurrency.
	unboundedSlots = 1 << 20
	slowFactor     = 20
	benchSlots     = 8
	// pingTeam sends requests to which the entry process responds immediately,
	// without the dispatcher. Their latency shows the delays of the machine.
	pingTeam = "ping"
	pingRate = 200
	// concurrentRequests is the number of requests in progress while memory is
	// measured, warmUpBatch the number in progress during the warm-up of the
	// connections.
	concurrentRequests = 976
	warmUpBatch        = 32
	// headerService sets the service time of a request.
	headerService = "X-Service"
)

func TestMain(m *testing.M) {
	switch os.Getenv(envRole) {
	case "upstream":
		runUpstreams()
	case "entry":
		runEntry()
	default:
		os.Exit(m.Run())
	}
}

// listen serves the handler on a free port and prints its address.
func listen(h http.Handler) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	go func() { _ = http.Serve(l, h) }()
}

// waitForSIGTERM blocks until the process receives SIGTERM.
func waitForSIGTERM() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	<-stop
}

// runUpstreams runs upstreams with a fixed service time, which refuse requests
// beyond their slots. Only the first one has a fault.
func runUpstreams() {
	n, _ := strconv.Atoi(os.Getenv(envUpstreams))
	service, _ := time.ParseDuration(os.Getenv(envService))
	slots, _ := strconv.Atoi(os.Getenv(envSlots))
	for i := range n {
		var inUse atomic.Int64
		fault := ""
		if i == 0 {
			fault = os.Getenv(envFault)
		}
		listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(caplatform.HeaderAttempt, r.Header.Get(caplatform.HeaderAttempt))
			defer inUse.Add(-1)
			if inUse.Add(1) > int64(slots) {
				w.Header().Set(caplatform.HeaderNotRun, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			body, _ := io.ReadAll(r.Body)
			switch fault {
			case "failing":
				w.WriteHeader(http.StatusInternalServerError)
				return
			case "silent":
				<-r.Context().Done()
				return
			case "slow":
				time.Sleep(slowFactor * service)
			}
			time.Sleep(serviceTime(r, service))
			_, _ = w.Write(body)
		}))
	}
	waitForSIGTERM()
}

// serviceTime returns the service time that the request sets, or else the usual
// one.
func serviceTime(r *http.Request, usual time.Duration) time.Duration {
	if asked, err := time.ParseDuration(r.Header.Get(headerService)); err == nil {
		return asked
	}
	return usual
}

// runEntry runs an entry with the upstreams whose addresses are in the
// environment.
func runEntry() {
	// Log to a file, so that each log line costs a system call as in production.
	logFile, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		panic(err)
	}
	policy := caadmit.DefaultPolicy()
	policy.Default.MaxQueued = 1200
	policy = policy.WithTeam(caadmit.TeamPolicy{Team: "heavy", Weight: 2})
	maxBytes, _ := strconv.ParseInt(os.Getenv(envMaxBytes), 10, 64)
	d := cadispatch.New(cadispatch.Config{
		Self:           "e1",
		Zone:           "z1",
		Timer:          catimer.NewService(),
		Logger:         zerolog.New(logFile),
		Policy:         cadispatch.DefaultPolicy().WithAdmission(policy),
		MaxMemoryBytes: maxBytes,
	})
	go func() { _ = d.Run(context.Background()) }()
	for i, address := range strings.Fields(os.Getenv(envUpstreams)) {
		d.PutUpstream(caroute.Upstream{
			ID:          cawork.UpstreamID(fmt.Sprint("u", i)),
			Zone:        "z1",
			Address:     address,
			Slots:       benchSlots,
			Connections: 64,
			Epoch:       1,
		})
	}
	listen(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerTeam) == pingTeam {
			return
		}
		d.ServeRequest(w, r, cawork.TeamName(r.Header.Get(headerTeam)))
	}))
	// serveMemory has a separate address, so that its calls do not change the
	// stacks of request connections.
	listen(http.HandlerFunc(serveMemory))
	listenAPI(d)
	waitForSIGTERM()
}

// openAuthorizer authorizes every call on behalf of one team.
type openAuthorizer struct{}

func (openAuthorizer) AuthorizeKey(string) (cawork.TeamName, error) { return "light", nil }

func (openAuthorizer) AuthorizeQueue(string, cawork.WorkKind) (cawork.TeamName, error) {
	return "light", nil
}

// listenAPI serves the API of an entry on a free port and prints its address.
func listenAPI(d *cadispatch.Dispatcher) {
	api := caapi.NewAPI(caapi.Config{
		Limits: caapi.Limits{
			RequestTime: time.Minute, HeaderBytes: 16 << 10, BodyBytes: 64 << 20, Connections: 4096,
		},
		Authorizer: openAuthorizer{},
		Requests:   d,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	go func() { _ = api.Serve(l) }()
}

// process is a child process that runs upstreams or an entry.
type process struct {
	cmd       *exec.Cmd
	addresses []string
	// memoryAddress and apiAddress are the addresses of serveMemory and of the
	// API. Only an entry has them.
	memoryAddress string
	apiAddress    string
}

// startProcess starts a child process and reads the given number of addresses
// from its output.
func startProcess(b *testing.B, addresses int, env ...string) *process {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
	})
	p := &process{cmd: cmd}
	lines := bufio.NewScanner(out)
	for len(p.addresses) < addresses && lines.Scan() {
		p.addresses = append(p.addresses, lines.Text())
	}
	return p
}

// residentKiB returns the resident memory of the process.
func (p *process) residentKiB(b *testing.B) float64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		b.Skip("no process status on this system")
	}
	for line := range strings.Lines(string(raw)) {
		var kib float64
		if n, _ := fmt.Sscanf(line, "VmRSS: %f kB", &kib); n == 1 {
			return kib
		}
	}
	b.Fatal("no resident memory in the process status")
	return 0
}

// clockTicks is the number of clock ticks per second in /proc/PID/stat.
const clockTicks = 100

// cpuTime returns the CPU time that the process has used.
func (p *process) cpuTime(b *testing.B) time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Skip("no process times on this system")
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / clockTicks
}

// benchCell is an entry and its upstreams.
type benchCell struct {
	upstreams *process
	entry     *process
}

func startUpstreams(b *testing.B, n int, service time.Duration, fault string, slots int) *process {
	return startProcess(b, n,
		envRole+"=upstream",
		envFault+"="+fault,
		envUpstreams+"="+strconv.Itoa(n),
		envService+"="+service.String(),
		envSlots+"="+strconv.Itoa(slots))
}

func newBenchCell(b *testing.B, upstreams int, service time.Duration, fault string, env ...string) benchCell {
	ups := startUpstreams(b, upstreams, service, fault, benchSlots)
	env = append(env, envRole+"=entry", envUpstreams+"="+strings.Join(ups.addresses, " "))
	entry := startProcess(b, 3, env...)
	entry.memoryAddress, entry.apiAddress = entry.addresses[1], entry.addresses[2]
	entry.addresses = entry.addresses[:1]
	return benchCell{ups, entry}
}

// runLoad sends requests of a team with small bodies at a rate per second and
// returns the report.
func runLoad(b *testing.B, addresses []string, team string, rate float64, d time.Duration) caload.Report {
	return runLoadWithBodySize(b, addresses, team, rate, d, 256)
}

// runLoadWithBodySize is runLoad with bodies of the given size in bytes.
func runLoadWithBodySize(b *testing.B, addresses []string, team string, rate float64, d time.Duration, size int) caload.Report {
	var urls []string
	for _, a := range addresses {
		urls = append(urls, "http://"+a+caplatform.RequestPath)
	}
	rep, err := caload.Run(context.Background(), catimer.NewService(), caload.Plan{
		URLs:        urls,
		Header:      http.Header{headerTeam: {team}, caplatform.HeaderIdempotent: {"true"}},
		Body:        make([]byte, size),
		Rate:        rate,
		Duration:    d,
		Requests:    10_000_000,
		Warmup:      d / 5,
		Timeout:     40 * time.Second,
		MaxInFlight: 4096,
		Seed:        7,
	})
	if err != nil {
		b.Error(err)
	}
	var text strings.Builder
	_ = rep.WriteText(&text)
	b.Logf("%s at %.0f/s:\n%s", team, rate, &text)
	return rep
}

func millisOf(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkOverhead compares requests through an entry at half load with direct
// calls to separate upstreams. Both run at the same time, so that the delays of
// the machine affect them equally.
func BenchmarkOverhead(b *testing.B) {
	const upstreams, service = 4, 10 * time.Millisecond
	c := newBenchCell(b, upstreams, service, "")
	directUpstreams := startUpstreams(b, upstreams, service, "", unboundedSlots)
	for b.Loop() {
		halfCapacity := measureCapacity(b, c.upstreams.addresses, 5*time.Second) / 2
		directReports := make(chan caload.Report, 1)
		go func() { directReports <- runLoad(b, directUpstreams.addresses, "light", halfCapacity, 10*time.Second) }()
		viaEntry := runLoad(b, c.entry.addresses, "light", halfCapacity, 10*time.Second)
		direct := <-directReports
		b.ReportMetric(halfCapacity, "offered/s")
		b.ReportMetric(float64(direct.Arrivals-direct.Count(http.StatusOK)), "direct-not-done")
		b.ReportMetric(float64(viaEntry.Arrivals-viaEntry.Count(http.StatusOK)), "not-done")
		b.ReportMetric(millisOf(direct.Latency.P50), "direct-p50-ms")
		b.ReportMetric(millisOf(direct.Latency.P99), "direct-p99-ms")
		b.ReportMetric(millisOf(viaEntry.Latency.P50-direct.Latency.P50), "overhead-p50-ms")
		b.ReportMetric(millisOf(viaEntry.Latency.P99-direct.Latency.P99), "overhead-p99-ms")
	}
}

// BenchmarkRate sends 10,000 requests per second through one entry.
func BenchmarkRate(b *testing.B) {
	c := newBenchCell(b, 16, 5*time.Millisecond, "")
	for b.Loop() {
		before := c.entry.cpuTime(b)
		rep := runLoad(b, c.entry.addresses, "light", 10_000, 10*time.Second)
		used := c.entry.cpuTime(b) - before
		// The arrivals do not include the warm-up, which takes a fifth of the
		// time.
		b.ReportMetric(float64(used.Microseconds())/float64(rep.Arrivals)*4/5, "processor-us/request")
		b.ReportMetric(float64(rep.Count(http.StatusOK))/8, "done/s")
		b.ReportMetric(float64(rep.Arrivals-rep.Count(http.StatusOK)), "not-done")
		b.ReportMetric(millisOf(rep.Latency.P50), "p50-ms")
		b.ReportMetric(millisOf(rep.Latency.P99), "p99-ms")
		b.ReportMetric(c.entry.residentKiB(b)/1024, "resident-MiB")
	}
}

// memoryUsage is the memory of a process by purpose, in bytes.
type memoryUsage struct {
	// Live and Garbage are the sizes of the heap objects that a garbage
	// collection keeps and frees.
	Live    uint64
	Garbage uint64
	// Unused is the heap memory without objects that has not been returned to
	// the operating system.
	Unused uint64
	Stacks uint64
	// Runtime is the memory of the internal structures of the Go runtime.
	Runtime uint64
	// Collections is the number of garbage collections since the process
	// started.
	Collections uint32
}

// readMemory returns the memory usage of this process. It runs a garbage
// collection to separate live objects from garbage, and reports the usage from
// before it.
func readMemory() memoryUsage {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	runtime.GC()
	runtime.ReadMemStats(&after)
	return memoryUsage{
		Live:        after.HeapAlloc,
		Garbage:     before.HeapAlloc - min(after.HeapAlloc, before.HeapAlloc),
		Unused:      before.HeapSys - before.HeapReleased - before.HeapAlloc,
		Stacks:      before.StackSys,
		Runtime:     before.MSpanSys + before.MCacheSys + before.BuckHashSys + before.GCSys + before.OtherSys,
		Collections: before.NumGC,
	}
}

// serveMemory responds with the memory usage of this process.
func serveMemory(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(readMemory())
}

// fetchMemory requests the memory usage of the process.
func (p *process) fetchMemory(b *testing.B) memoryUsage {
	res, err := http.Get("http://" + p.memoryAddress)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	var m memoryUsage
	if err := json.NewDecoder(res.Body).Decode(&m); err != nil {
		b.Fatal(err)
	}
	return m
}

// reportMemory reports the resident memory and the memory usage of the process.
func (p *process) reportMemory(b *testing.B) {
	b.ReportMetric(p.residentKiB(b)/1024, "resident-MiB")
	m := p.fetchMemory(b)
	const mib = 1 << 20
	b.ReportMetric(float64(m.Live)/mib, "live-MiB")
	b.ReportMetric(float64(m.Garbage)/mib, "garbage-MiB")
	b.ReportMetric(float64(m.Unused)/mib, "unused-MiB")
	b.ReportMetric(float64(m.Stacks)/mib, "stacks-MiB")
	b.ReportMetric(float64(m.Runtime)/mib, "runtime-MiB")
	b.ReportMetric(float64(m.Collections), "collections")
}

// BenchmarkResident measures the memory of an entry with 1,000 requests in
// progress: with few upstreams most of them wait in the queues, with 125 all of
// them are at upstreams.
func BenchmarkResident(b *testing.B) {
	for _, upstreams := range []int{6, 16, 125} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			c := newBenchCell(b, upstreams, 10*time.Second, "")
			for b.Loop() {
				go runLoad(b, c.entry.addresses, "light", 1000, time.Second)
				time.Sleep(4 * time.Second)
				c.entry.reportMemory(b)
			}
		})
	}
}

// BenchmarkMemoryLimit sends more requests with bodies of 16 KiB than the memory
// of an entry allows, with the default memory limit and without one. It reports
// the latency of the refusals.
func BenchmarkMemoryLimit(b *testing.B) {
	const upstreams, service = 125, 4 * time.Second
	for _, limit := range []struct{ name, bytes string }{{"usual", "0"}, {"none", "1099511627776"}} {
		b.Run("bound="+limit.name, func(b *testing.B) {
			c := newBenchCell(b, upstreams, service, "", envMaxBytes+"="+limit.bytes)
			for b.Loop() {
				loadReports, pingReports := make(chan caload.Report, 1), make(chan caload.Report, 1)
				go func() { pingReports <- runLoad(b, c.entry.addresses, pingTeam, pingRate, 3*time.Second) }()
				go func() { loadReports <- runLoadWithBodySize(b, c.entry.addresses, "light", 800, 3*time.Second, 16<<10) }()
				time.Sleep(2500 * time.Millisecond)
				b.ReportMetric(c.entry.residentKiB(b)/1024, "resident-MiB")
				p, rep := <-pingReports, <-loadReports
				b.ReportMetric(millisOf(p.Latency.P99), "ping-p99-ms")
				b.ReportMetric(float64(rep.Count(http.StatusOK)), "done")
				b.ReportMetric(float64(rep.Arrivals-rep.Count(http.StatusOK)-rep.Count(http.StatusTooManyRequests)), "neither")
				for _, g := range rep.Groups {
					if g.Status == http.StatusTooManyRequests {
						b.ReportMetric(float64(g.Count), "refused")
						b.ReportMetric(millisOf(g.Latency.P50), "refusal-p50-ms")
						b.ReportMetric(millisOf(g.Latency.P99), "refusal-p99-ms")
					}
				}
			}
		})
	}
}

// BenchmarkResidentReusedConnections is BenchmarkResident on connections that
// have carried a request before, as the connections of a load balancer have.
func BenchmarkResidentReusedConnections(b *testing.B) {
	for _, upstreams := range []int{6, 16} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			c := newBenchCell(b, upstreams, 20*time.Second, "")
			for b.Loop() {
				c.reportMemoryUnderLoad(b, c.entry.addresses[0])
			}
		})
	}
}

// BenchmarkResidentAPI measures the memory of an entry with 976 requests in
// progress that arrived through its API: each on its own reused connection, or
// over HTTP/2 on shared connections.
func BenchmarkResidentAPI(b *testing.B) {
	for _, upstreams := range []int{6, 16} {
		b.Run(fmt.Sprintf("own/upstreams=%d", upstreams), func(b *testing.B) {
			c := newBenchCell(b, upstreams, 20*time.Second, "")
			for b.Loop() {
				c.reportMemoryUnderLoad(b, c.entry.apiAddress)
			}
		})
		b.Run(fmt.Sprintf("shared/upstreams=%d", upstreams), func(b *testing.B) {
			c := newBenchCell(b, upstreams, 20*time.Second, "")
			for b.Loop() {
				client := newHTTP2Client(c.entry.apiAddress)
				for range concurrentRequests / warmUpBatch {
					client.sendAll(warmUpBatch, "10ms").Wait()
				}
				client.endedRequests.Store(0)
				client.sendAll(concurrentRequests, "20s")
				time.Sleep(2 * time.Second)
				c.entry.reportMemory(b)
				if n := client.endedRequests.Load(); n > 0 {
					b.Fatalf("%d requests ended before the measurement", n)
				}
			}
		})
	}
}

// BenchmarkIdleConnections measures the memory of an entry with idle
// connections to its API that have carried a request before.
func BenchmarkIdleConnections(b *testing.B) {
	for _, connections := range []int{512, 2048} {
		b.Run(fmt.Sprintf("connections=%d", connections), func(b *testing.B) {
			c := newBenchCell(b, 16, 10*time.Millisecond, "")
			for b.Loop() {
				openUsedConnections(b, c.entry.apiAddress, connections)
				c.entry.reportMemory(b)
			}
		})
	}
}

// http2Client sends requests over HTTP/2 on as few connections as possible.
type http2Client struct {
	transport     *http.Transport
	address       string
	endedRequests atomic.Int64
}

func newHTTP2Client(address string) *http2Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http2Client{transport: &http.Transport{Protocols: protocols}, address: address}
}

// sendAll sends n requests and returns a wait group that waits for their
// responses.
func (s *http2Client) sendAll(n int, service string) *sync.WaitGroup {
	var all sync.WaitGroup
	for range n {
		all.Go(func() {
			res, err := s.transport.RoundTrip(heldRequest(s.address, service))
			if err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
			s.endedRequests.Add(1)
		})
		time.Sleep(time.Millisecond)
	}
	return &all
}

// reportMemoryUnderLoad reports the memory while a request is in progress on
// each of many reused connections to the address.
func (c benchCell) reportMemoryUnderLoad(b *testing.B, address string) {
	conns := openUsedConnections(b, address, concurrentRequests)
	for _, conn := range conns {
		sendHeldRequest(b, conn, "20s")
		time.Sleep(time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	c.entry.reportMemory(b)
	checkInProgress(b, conns)
}

// checkInProgress fails if a request on one of the connections has ended.
func checkInProgress(b *testing.B, conns []net.Conn) {
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			b.Fatalf("a request has ended: %d bytes, %v", n, err)
		}
	}
}

// openUsedConnections opens connections and completes a request on each, in
// batches of warmUpBatch.
func openUsedConnections(b *testing.B, address string, connections int) []net.Conn {
	var conns []net.Conn
	for len(conns) < connections {
		batch := make([]net.Conn, min(warmUpBatch, connections-len(conns)))
		for i := range batch {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = conn.Close() })
			sendHeldRequest(b, conn, "10ms")
			batch[i] = conn
		}
		for _, conn := range batch {
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || res.StatusCode != http.StatusOK {
				b.Fatal("no successful response: ", res, err)
			}
			_, _ = io.Copy(io.Discard, res.Body)
		}
		conns = append(conns, batch...)
	}
	return conns
}

// sendHeldRequest sends a request with the service time on a connection.
func sendHeldRequest(b *testing.B, conn net.Conn, service string) {
	if err := heldRequest("entry", service).Write(conn); err != nil {
		b.Fatal(err)
	}
}

// heldRequest returns a request with the service time. It is not idempotent, so
// that its attempt is not canceled as late.
func heldRequest(address, service string) *http.Request {
	u := url.URL{Scheme: "http", Host: address, Path: caapi.PathRequests}
	body := bytes.NewReader(make([]byte, 256))
	return &http.Request{
		Method: http.MethodPost,
		URL:    &u,
		Header: http.Header{
			headerTeam:                  {"light"},
			caapi.HeaderQueue:           {"light"},
			headerService:               {service},
			caplatform.HeaderIdempotent: {"false"},
			caplatform.HeaderDeadline:   {"60000"},
		},
		Body:          io.NopCloser(body),
		ContentLength: body.Size(),
	}
}

// measureCapacity returns the requests per second that the upstreams complete
// while direct calls keep each slot busy.
func measureCapacity(b *testing.B, addresses []string, d time.Duration) float64 {
	var done atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchSlots}}
	for _, address := range addresses {
		for range benchSlots {
			wg.Go(func() {
				for time.Now().Before(end) {
					res, err := client.Post("http://"+address, "", bytes.NewReader(make([]byte, 256)))
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, res.Body)
					res.Body.Close()
					done.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return float64(done.Load()) / d.Seconds()
}

// BenchmarkOverload sends twice the capacity from two teams with weights 2 and
// 1, then half the capacity from one team.
func BenchmarkOverload(b *testing.B) {
	const upstreams, service = 4, 10 * time.Millisecond
	c := newBenchCell(b, upstreams, service, "")
	nominalCapacity := upstreams * benchSlots / service.Seconds()
	for b.Loop() {
		measuredCapacity := measureCapacity(b, c.upstreams.addresses, 5*time.Second)
		b.ReportMetric(measuredCapacity/nominalCapacity, "capacity/nominal")
		heavyReports, pingReports := make(chan caload.Report, 1), make(chan caload.Report, 1)
		go func() { pingReports <- runLoad(b, c.entry.addresses, pingTeam, pingRate, 10*time.Second) }()
		go func() { heavyReports <- runLoad(b, c.entry.addresses, "heavy", nominalCapacity, 10*time.Second) }()
		light := runLoad(b, c.entry.addresses, "light", nominalCapacity, 10*time.Second)
		h, p := <-heavyReports, <-pingReports
		b.ReportMetric(millisOf(p.Latency.P50), "ping-p50-ms")
		b.ReportMetric(millisOf(p.Latency.P99), "ping-p99-ms")
		done := float64(h.Count(http.StatusOK) + light.Count(http.StatusOK))
		b.ReportMetric(done/8/measuredCapacity, "goodput/capacity")
		b.ReportMetric(float64(h.Count(http.StatusOK))/float64(light.Count(http.StatusOK)), "heavy/light")
		for _, g := range light.Groups {
			if g.Status == http.StatusTooManyRequests {
				b.ReportMetric(float64(h.Count(g.Status)+light.Count(g.Status))/8, "refusals/s")
				b.ReportMetric(millisOf(g.Latency.P50), "refusal-p50-ms")
				b.ReportMetric(millisOf(g.Latency.P99), "refusal-p99-ms")
			}
		}
		after := runLoad(b, c.entry.addresses, "light", nominalCapacity/2, 5*time.Second)
		b.ReportMetric(millisOf(after.Latency.P99), "p99-after-ms")
		b.ReportMetric(float64(after.Arrivals-after.Count(http.StatusOK)), "not-done-after")
	}
}

// BenchmarkRefusal measures the refusal of requests at an entry without
// upstreams.
func BenchmarkRefusal(b *testing.B) {
	d := cadispatch.New(cadispatch.Config{Timer: catimer.NewService(), Logger: zerolog.Nop()})
	for b.Loop() {
		w := httptest.NewRecorder()
		d.ServeRequest(w, httptest.NewRequest(http.MethodPost, caplatform.RequestPath, nil), "light")
		if w.Code != http.StatusServiceUnavailable {
			b.Fatal(w.Code)
		}
	}
}

// BenchmarkFaultyUpstream sends idempotent requests at a third of the capacity
// of four upstreams, one of which is faulty.
func BenchmarkFaultyUpstream(b *testing.B) {
	const upstreams, service = 4, 10 * time.Millisecond
	for _, fault := range []string{"failing", "silent", "slow"} {
		b.Run(fault, func(b *testing.B) {
			c := newBenchCell(b, upstreams, service, fault)
			thirdOfCapacity := upstreams * benchSlots / service.Seconds() / 3
			for b.Loop() {
				rep := runLoad(b, c.entry.addresses, "light", thirdOfCapacity, 10*time.Second)
				b.ReportMetric(float64(rep.Count(http.StatusOK))/float64(rep.Arrivals), "done/request")
				b.ReportMetric(millisOf(rep.Latency.P50), "p50-ms")
				b.ReportMetric(millisOf(rep.Latency.P99), "p99-ms")
				b.ReportMetric(millisOf(rep.Latency.P999), "p99.9-ms")
			}
		})
	}
}
