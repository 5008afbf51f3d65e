// Package cademo runs an entry and stand-ins for the platform on loopback, in one
// process.
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
	// Team is the team that has a key in the demo.
	Team cawork.TeamName = "north"
	// Queue is the queue that accepts work without a key in the demo.
	Queue cacell.QueueName = "visitors"

	zone                cawork.ZoneName = "zone-a"
	entryVM             cawork.VMID     = "entry-1"
	loopbackAnyPort                     = "127.0.0.1:0"
	logRetention                        = time.Hour
	vmListLag                           = time.Second
	publishTimeout                      = 5 * time.Second
	upstreamCores                       = 4
	upstreamMemory                      = 8 * cawork.GiB
	upstreamSlots                       = 8
	upstreamConnections                 = 64
)

// configuration is the cell configuration of the demo without the key of Team.
const configuration = `{
  // The demo has one availability zone, in which all allowance is minted.
  "zones": {"zone-a": {"allowance_percent": 100}},
  "teams": {
    "north": {"share": 2, "limit": {"processors": "unlimited", "memory": "unlimited", "accelerators": "unlimited"}},
    "guests": {"share": 1, "limit": {"processors": 2, "memory": "4GiB", "accelerators": 0}}
  },
  "queues": {"visitors": {"team": "guests", "kinds": ["lookup", "batch"]}}
}`

// Options configure a demo.
type Options struct {
	// API is the address that serves callers.
	API       string
	Upstreams int
	Deps      caentry.Deps
}

// Demo is an entry with stand-ins for the platform.
type Demo struct {
	entry     *caentry.Entry
	servers   []*castandin.Server
	upstreams []*castandup.Upstream
	log       *castandlog.Log
	vmList    *castandvm.List
	key       cakey.GeneratedKey
	done      chan struct{}
}

// NewDemo publishes a configuration with a newly generated key, opens the
// stand-ins on free ports and creates an entry that uses them.
func NewDemo(ctx context.Context, o Options) (*Demo, error) {
	d := &Demo{key: cakey.Generate(), done: make(chan struct{})}
	timer := o.Deps.Timer
	d.log = castandlog.NewLog(timer.Now, logRetention)
	if err := d.publish(ctx); err != nil {
		return nil, err
	}
	settings := casettings.Default()
	settings.VM, settings.Zone = entryVM, zone
	settings.Addresses = casettings.Addresses{API: o.API, Operators: loopbackAnyPort, Peer: loopbackAnyPort}
	settings.TLS.Insecure = true
	logServer, err := d.addServer(castandin.NewServer(loopbackAnyPort, castandin.LogHandler(d.log)))
	if err != nil {
		return nil, err
	}
	settings.Platform.Log = "http://" + logServer.Address()
	if err := d.startUpstreams(timer, o.Upstreams); err != nil {
		return nil, err
	}
	listServer, err := d.addServer(castandin.NewServer(loopbackAnyPort, castandin.VMListHandler(d.vmList)))
	if err != nil {
		return nil, err
	}
	settings.Platform.VMList = "http://" + listServer.Address()
	d.entry, err = caentry.NewEntry(settings, o.Deps, caentry.NewPlatform(settings, o.Deps.Logger))
	return d, err
}

// addServer adds a listening server to those that Run serves.
func (d *Demo) addServer(s *castandin.Server, err error) (*castandin.Server, error) {
	if err == nil {
		d.servers = append(d.servers, s)
	}
	return s, err
}

func (d *Demo) startUpstreams(timer *catimer.Service, count int) error {
	d.vmList = castandvm.NewList(timer.Now, vmListLag, nil)
	var vms []caplatform.VM
	for i := range count {
		vm := caplatform.VM{
			ID: cawork.VMID("upstream-" + strconv.Itoa(i+1)), Role: caplatform.VMRoleUpstream, Zone: zone,
			Rack:     cawork.RackName("rack-" + strconv.Itoa(i%2+1)),
			Capacity: cawork.Resources{CPU: cawork.Cores(upstreamCores), Memory: upstreamMemory},
			Slots:    upstreamSlots, Connections: upstreamConnections,
		}
		upstream := castandup.NewUpstream(timer.Now, vm)
		server, err := d.addServer(castandin.NewServer(loopbackAnyPort, castandin.UpstreamHandler(upstream)))
		if err != nil {
			return err
		}
		vm.Address = server.Address()
		d.upstreams = append(d.upstreams, upstream)
		vms = append(vms, vm)
	}
	d.vmList = castandvm.NewList(timer.Now, vmListLag, vms)
	return nil
}

func (d *Demo) publish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	keys := fmt.Sprintf(`{"keys": {%q: {"team": %q, "sha256": %q}}}`, d.key.ID, Team, d.key.Hash)
	files := fstest.MapFS{
		"10-cell.json": &fstest.MapFile{Data: []byte(configuration)},
		"20-keys.json": &fstest.MapFile{Data: []byte(keys)},
	}
	config, err := cacell.Load(files)
	if err != nil {
		return err
	}
	publisher := cafollow.Publisher{Log: d.log, Topic: cacell.Topic}
	_, err = publisher.Publish(ctx, cafollow.Change{ID: "demo", Body: config.Encode()})
	return err
}

// Run runs the demo until the context ends. The stand-ins keep running until the
// entry has drained.
func (d *Demo) Run(ctx context.Context) error {
	defer close(d.done)
	standinCtx, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandins()
	group := &run.Group{}
	for _, s := range d.servers {
		group.Add(func() error { return s.Run(standinCtx) }, func(error) { stopStandins() })
	}
	entryCtx, stopEntry := context.WithCancel(ctx)
	group.Add(func() error { return d.entry.Run(entryCtx) }, func(error) { stopEntry() })
	return group.Run()
}

// Done returns a channel that is closed when Run has returned.
func (d *Demo) Done() <-chan struct{} { return d.done }

// APIAddress returns the address of the API for callers.
func (d *Demo) APIAddress() string { return d.entry.APIAddress() }

// OperatorsAddress returns the address of the API for operators.
func (d *Demo) OperatorsAddress() string { return d.entry.OperatorsAddress() }

// Key returns the key of Team.
func (d *Demo) Key() string { return d.key.Secret }

// Ready reports whether the entry accepts calls.
func (d *Demo) Ready() bool { return d.entry.Ready() }

// Violations returns the sum of the invariant violations counted by the
// upstreams.
func (d *Demo) Violations() castandup.Violations {
	var sum castandup.Violations
	for _, u := range d.upstreams {
		v := u.Violations()
		sum.Overcommitted += v.Overcommitted
		sum.RepeatedAttempts += v.RepeatedAttempts
		sum.SlotsExceeded += v.SlotsExceeded
	}
	return sum
}

// RequestsRunning returns the number of requests running on the upstreams.
func (d *Demo) RequestsRunning() int {
	running := 0
	for _, u := range d.upstreams {
		running += u.RequestsRunning()
	}
	return running
}

// WriteGuide writes example commands for the running demo.
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
