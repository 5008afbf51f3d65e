// Package cademo runs an entry together with stand-ins of the platform on
// loopback, in one process.
package cademo

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"testing/fstest"
	"time"

	"github.com/oklog/run"

	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/config/cakey"
	"celeryarch.example/celeryarch/internal/config/casettings"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/node/caentry"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/standin/castandin"
	"celeryarch.example/celeryarch/internal/standin/castandlog"
	"celeryarch.example/celeryarch/internal/standin/castandup"
	"celeryarch.example/celeryarch/internal/standin/castandvm"
)

const (
	// Team is the team of the demo that has a key.
	Team cawork.TeamName = "north"
	// Queue is the queue of the demo that is open to all.
	Queue cacell.QueueName = "visitors"

	zone           cawork.ZoneName = "zone-a"
	entryVM        cawork.VMID     = "entry-1"
	anyPort                        = "127.0.0.1:0"
	retention                      = time.Hour
	listLag                        = time.Second
	publishTimeout                 = 5 * time.Second
	upstreamCores                  = 4
	upstreamMemory                 = 8 * cawork.GiB
	slots                          = 8
	connections                    = 64
)

// configuration is the cell configuration of the demo, but for its key.
const configuration = `{
  // The demo has one availability zone, in which all allowance is minted.
  "zones": {"zone-a": {"allowance_percent": 100}},
  "teams": {
    "north": {"share": 2, "limit": {"processors": "unlimited", "memory": "unlimited", "accelerators": "unlimited"}},
    "guests": {"share": 1, "limit": {"processors": 2, "memory": "4GiB", "accelerators": 0}}
  },
  "queues": {"visitors": {"team": "guests", "kinds": ["lookup", "batch"]}}
}`

// Options tell how to run a demo.
type Options struct {
	// API is the address that serves callers.
	API       string
	Upstreams int
	Around    caentry.Surroundings
}

// Demo is an entry with stand-ins of the platform.
type Demo struct {
	entry     *caentry.Entry
	servers   []*castandin.Server
	upstreams []*castandup.Upstream
	log       *castandlog.Log
	list      *castandvm.List
	key       cakey.Issued
	done      chan struct{}
}

// NewDemo starts the stand-ins on free ports, publishes a configuration with a
// fresh key and wires an entry.
func NewDemo(ctx context.Context, o Options) (*Demo, error) {
	d := &Demo{key: cakey.Generate(), done: make(chan struct{})}
	timer := o.Around.Timer
	d.log = castandlog.NewLog(timer.Now, retention)
	if err := d.publish(ctx); err != nil {
		return nil, err
	}
	settings := casettings.Default()
	settings.VM, settings.Zone = entryVM, zone
	settings.Addresses = casettings.Addresses{API: o.API, Operators: anyPort, Peer: anyPort}
	settings.TLS.Insecure = true
	logServer, err := d.serve(castandin.NewServer(anyPort, castandin.LogHandler(d.log)))
	if err != nil {
		return nil, err
	}
	settings.Platform.Log = "http://" + logServer.Address()
	if err := d.startUpstreams(timer, o.Upstreams); err != nil {
		return nil, err
	}
	listServer, err := d.serve(castandin.NewServer(anyPort, castandin.VMListHandler(d.list)))
	if err != nil {
		return nil, err
	}
	settings.Platform.VMList = "http://" + listServer.Address()
	d.entry, err = caentry.NewEntry(settings, o.Around, caentry.DialPlatform(settings))
	return d, err
}

// serve keeps a server that listens, to be run later.
func (d *Demo) serve(s *castandin.Server, err error) (*castandin.Server, error) {
	if err == nil {
		d.servers = append(d.servers, s)
	}
	return s, err
}

func (d *Demo) startUpstreams(timer *catimer.Service, count int) error {
	d.list = castandvm.NewList(timer.Now, listLag, nil)
	var vms []caplatform.VM
	for i := range count {
		vm := caplatform.VM{
			ID: cawork.VMID("upstream-" + strconv.Itoa(i+1)), Role: caplatform.VMRoleUpstream, Zone: zone,
			Rack:     cawork.RackName("rack-" + strconv.Itoa(i%2+1)),
			Capacity: cawork.Resources{CPU: cawork.Cores(upstreamCores), Memory: upstreamMemory},
			Slots:    slots, Connections: connections,
		}
		upstream := castandup.NewUpstream(timer.Now, vm)
		server, err := d.serve(castandin.NewServer(anyPort, castandin.UpstreamHandler(upstream)))
		if err != nil {
			return err
		}
		vm.Address = server.Address()
		d.upstreams = append(d.upstreams, upstream)
		vms = append(vms, vm)
	}
	d.list = castandvm.NewList(timer.Now, listLag, vms)
	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	keys := fmt.Sprintf(`{"keys": {%q: {"team": %q, "sha256": %q}}}`, d.key.ID, Team, d.key.Hash)
	folder := fstest.MapFS{
		"10-cell.json": &fstest.MapFile{Data: []byte(configuration)},
		"20-keys.json": &fstest.MapFile{Data: []byte(keys)},
	}
	config, err := cacell.Load(folder)
	if err != nil {
		return err
	}
	publisher := cafollow.Publisher{Log: d.log, Topic: cacell.Topic}
	_, err = publisher.Publish(ctx, cafollow.Change{ID: "demo", Body: config.Encode()})
	return err
}

// Run runs the demo until the context ends. The stand-ins outlive the entry,
// which drains.
func (d *Demo) Run(ctx context.Context) error {
	defer close(d.done)
	platform, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group := &run.Group{}
	for _, s := range d.servers {
		group.Add(func() error { return s.Run(platform) }, func(error) { stop() })
	}
	entry, stopEntry := context.WithCancel(ctx)
	group.Add(func() error { return d.entry.Run(entry) }, func(error) { stopEntry() })
	return group.Run()
}

// Done is closed when the demo has ended.
func (d *Demo) Done() <-chan struct{} { return d.done }

// APIAddress returns the address that serves callers.
func (d *Demo) APIAddress() string { return d.entry.APIAddress() }

// OperatorsAddress returns the address that serves operators.
func (d *Demo) OperatorsAddress() string { return d.entry.OperatorsAddress() }

// Key returns the key of Team.
func (d *Demo) Key() string { return d.key.Secret }

// Ready reports whether the entry serves callers.
func (d *Demo) Ready() bool { return d.entry.Ready() }

// Violations adds up what the upstreams saw that must never happen.
func (d *Demo) Violations() castandup.Violations {
	var sum castandup.Violations
	for _, u := range d.upstreams {
		v := u.Violations()
		sum.Overcommitted += v.Overcommitted
		sum.DoubleRequests += v.DoubleRequests
		sum.OverSlots += v.OverSlots
	}
	return sum
}

// RequestsRunning returns the number of requests that run on the upstreams.
func (d *Demo) RequestsRunning() int {
	running := 0
	for _, u := range d.upstreams {
		running += u.RequestsRunning()
	}
	return running
}

// WriteGuide writes what to type next.
func (d *Demo) WriteGuide(w io.Writer) error {
	url, operators := "http://"+d.APIAddress(), "http://"+d.OperatorsAddress()
	_, err := fmt.Fprintf(w, `celeryarch demo: one entry and %d upstreams on loopback, without TLS.
In another terminal:

  export CELERYARCH_ENTRY=%s CELERYARCH_OPERATORS=%s
  export CELERYARCH_KEY=%s

  go run . submit --kind=lookup --payload='which red?'
  go run . submit --tasks=3 --processors=0.5 --wait=20s
  go run . status

  curl -H "Authorization: Bearer $CELERYARCH_KEY" -d 'which red?' $CELERYARCH_ENTRY/v1/requests
  curl -H "X-Queue: %s" -d 'without a key' $CELERYARCH_ENTRY/v1/requests

Control-C ends the demo; requests in progress are finished first.
`, len(d.upstreams), url, operators, d.Key(), Queue)
	return err
}
