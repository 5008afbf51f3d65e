// Package caentry wires the parts of an entry and runs them.
//
// A call of a caller arrives at the API. A request goes on to the dispatcher,
// which takes a slot of an upstream. A job goes to the launcher, which records
// it in the shard that this entry leads and starts its tasks on upstreams that
// this entry, or another of the zone, owns.
package caentry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/catimer"
	"celeryarch.example/celeryarch/internal/base/caversion"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/caactive"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/config/casettings"
	"celeryarch.example/celeryarch/internal/coord/cacheck"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/calist"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/caowner"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/core/cadecide"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/node/caarchive"
	"celeryarch.example/celeryarch/internal/node/cadirectory"
	"celeryarch.example/celeryarch/internal/node/calaunch"
	"celeryarch.example/celeryarch/internal/node/calink"
	"celeryarch.example/celeryarch/internal/node/capeer"
	"celeryarch.example/celeryarch/internal/node/caquota"
	"celeryarch.example/celeryarch/internal/platform/cahttp"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
)

// agentTimeout bounds a control call to the agent of an upstream.
const agentTimeout = 2 * time.Second

// Surroundings are what an entry gets from the process that runs it.
type Surroundings struct {
	Logger  zerolog.Logger
	Scope   tally.Scope
	Metrics http.Handler
	Timer   *catimer.Service
	// Version is what this entry tells of its version. The zero value stands for
	// what this program supports; tests set others.
	Version Version
}

// Version is what an entry tells others of its version.
type Version struct {
	Protocols caversion.Range
	// Format is the newest format that it reads and writes.
	Format caversion.Format
}

// isUnnumbered reports whether the entry greets nobody, as in version 0.2.0.
func (v Version) isUnnumbered() bool { return v.Protocols.Newest == caversion.ProtocolUnnumbered }

func (v Version) orSupported() Version {
	if v.Protocols.IsZero() {
		return Version{Protocols: caversion.Supported(), Format: caversion.FormatNewest}
	}
	return v
}

// Platform is what an entry gets from the platform and the network.
type Platform struct {
	Log    caplatform.Log
	VMs    caplatform.VMList
	Agents caplatform.Agents
	Listen func(address string) (net.Listener, error)
	Dial   capeer.Dial
}

// DialPlatform returns the platform over HTTP at the addresses of the settings
// and the network over TCP.
func DialPlatform(s casettings.Settings) Platform {
	client := cahttp.NewClient(s.Timeouts.Platform)
	return Platform{
		Log:    cahttp.NewLog(client, s.Platform.Log),
		VMs:    cahttp.NewVMList(client, s.Platform.VMList),
		Agents: cahttp.NewAgents(cahttp.NewClient(agentTimeout)),
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   capeer.DialTCP,
	}
}

// Entry is one entry with all its parts.
type Entry struct {
	settings casettings.Settings
	platform Platform
	log      zerolog.Logger
	scope    tally.Scope
	timer    *catimer.Service
	check    *cacheck.Checker
	life     int64
	shard    cawork.ShardID
	version  Version
	began    time.Time
	// format is the format of records in force.
	format atomic.Int64

	list       *calist.Part
	directory  *cadirectory.Directory
	members    *camember.Part
	owner      *caowner.Part
	shards     *cashard.Part
	follower   *cafollow.Follower
	active     *caactive.Active
	launcher   *calaunch.Launcher
	quota      *caquota.Part
	archive    *caarchive.Part
	dispatcher *cadispatch.Dispatcher
	keys       *cadedupe.Service
	api        *caapi.API
	operators  *caapi.Operators
	peers      *capeer.Server
	client     *capeer.Client

	apiListener       net.Listener
	operatorsListener net.Listener
	peerListener      net.Listener
	serverTLS         *tls.Config
	draining          chan struct{}
	// stop ends all parts at once, without a drain.
	stop context.CancelFunc
	done chan struct{}
}

// NewEntry wires an entry and listens on its addresses. An address that is in
// use, or a TLS file that cannot be read, is an error.
func NewEntry(s casettings.Settings, around Surroundings, platform Platform) (*Entry, error) {
	e := &Entry{
		settings: s,
		platform: platform,
		log:      around.Logger.With().Str("vm", string(s.VM)).Logger(),
		scope:    around.Scope,
		timer:    around.Timer,
		draining: make(chan struct{}),
		done:     make(chan struct{}),
		version:  around.Version.orSupported(),
		began:    around.Timer.Now(),
	}
	e.format.Store(int64(caversion.FormatUnnumbered))
	e.check = cacheck.New(e.log, e.scope)
	if err := e.listen(); err != nil {
		return nil, err
	}
	e.wireMembership()
	e.wireConfiguration()
	if err := e.wireJobs(); err != nil {
		return nil, err
	}
	e.wireRequests()
	e.wireAPI(around.Metrics)
	return e, nil
}

func (e *Entry) listen() error {
	var err error
	var clientTLS *tls.Config
	if e.serverTLS, clientTLS, err = loadTLS(e.settings.TLS); err != nil {
		return err
	}
	if err := e.listenAll(); err != nil {
		return err
	}
	e.client = capeer.NewClient(e.platform.Dial, clientTLS)
	return nil
}

// listenAll opens all listeners or none.
func (e *Entry) listenAll() error {
	addresses := e.settings.Addresses
	var open []net.Listener
	for _, l := range []struct {
		listener *net.Listener
		whom     string
		address  string
	}{
		{&e.apiListener, "callers", addresses.API},
		{&e.operatorsListener, "operators", addresses.Operators},
		{&e.peerListener, "entries", addresses.Peer},
	} {
		listener, err := e.platform.Listen(l.address)
		if err != nil {
			for _, o := range open {
				_ = o.Close()
			}
			return cakind.Wrap(cakind.KindUnavailable, err, "listen for %s on %s", l.whom, l.address)
		}
		*l.listener = listener
		open = append(open, listener)
	}
	return nil
}

// link returns the connection to other entries.
func (e *Entry) link() *calink.Link {
	return calink.NewLink(e.client, e.directory, e.settings.Timeouts.Peer)
}

func (e *Entry) wireMembership() {
	e.list = calist.NewPart(e.platform.VMs, e.timer, e.log, e.scope)
	e.directory = cadirectory.NewDirectory(e.settings.VM, e.settings.Zone, e.version.Format, e.list)
	identity := camember.Identity{VM: e.settings.VM, Address: e.peerListener.Addr().String(), Zone: e.settings.Zone}
	e.members = camember.NewPart(camember.DefaultConfig(), identity, e.settings.Seeds, camember.Deps{
		Peers: calink.Members{Link: e.link()}, Timers: e.timer, Log: e.log, Scope: e.scope, Check: e.check,
		Seed: rand.Uint64(), Greetings: e.client,
	})
	if !e.version.isUnnumbered() {
		e.client.GreetAs(e.greeting)
	}
	e.directory.SetMembers(e.members)
	e.life = int64(e.members.Self().Incarnation)
	e.shard = shardID(e.settings.VM, e.life)
	e.owner = caowner.NewPart(caowner.DefaultConfig(), e.settings.VM, e.settings.Zone, caowner.Deps{
		Agents: e.platform.Agents, Timers: e.timer, Log: e.log, Scope: e.scope, Check: e.check,
	})
}

func (e *Entry) wireConfiguration() {
	e.follower = cafollow.NewFollower(cafollow.Options{
		Self: e.settings.VM, Zone: e.settings.Zone, Log: e.platform.Log, Topic: cacell.Topic,
		Peers: calink.Configs{Link: e.link()}, Timer: e.timer, Logger: e.log, Scope: e.scope,
		Elected: e.isElected,
	})
	e.active = caactive.NewActive(e.follower, e.timer, e.log)
}

// isElected reports whether this entry writes snapshots: the first live one
// by id. Two that do are harmless.
func (e *Entry) isElected() bool {
	for _, m := range e.directory.Others() {
		if m.VM < e.settings.VM {
			return false
		}
	}
	return true
}

func (e *Entry) wireJobs() error {
	var err error
	e.shards, err = cashard.NewPart(cashard.Options{
		Self: cashard.Member{VM: e.settings.VM, Incarnation: e.life}, Zone: e.settings.Zone,
		Config: cashard.DefaultConfig(), Peers: calink.Replicas{Link: e.link()},
		Witnesses: witnesses{directory: e.directory, agents: e.platform.Agents}, Listener: (*shardListener)(e),
		NewMachine: func(id cawork.ShardID) cashard.StateMachine {
			state := cajob.NewState(id, cajob.DefaultRetention())
			state.SetFormats(e.recordFormat, e.version.Format)
			return state
		},
		Timer: e.timer, Log: e.log, Scope: e.scope,
	})
	if err != nil {
		return err
	}
	e.quota = caquota.NewPart(caquota.Config{
		Zone: e.settings.Zone, Shard: e.shard, Log: e.platform.Log, Shards: e.shards, Limits: e.active,
		Leaders: e.directory, Archive: lateParts{e}, Ender: lateParts{e}, Peers: calink.Quotas{Link: e.link()},
		Timer: e.timer, Logger: e.log, Scope: e.scope, Format: e.recordFormat,
	})
	e.launcher = calaunch.NewLauncher(calaunch.Config{
		Self: e.settings.VM, Zone: e.settings.Zone, Shard: e.shard, TaskTTL: caowner.DefaultConfig().TaskTTL,
		LapseAfter: caowner.DefaultConfig().TasksLapseAfter(),
		Scheduler:  cadecide.New(casched.DefaultPolicy(), e.violated), Shards: e.shards, Leases: e.owner, Allowances: e.quota,
		Directory: e.directory, Agents: e.platform.Agents, Peers: calink.Jobs{Link: e.link()},
		Timer: e.timer, Logger: e.log, Scope: e.scope, Generation: e.life, Format: e.recordFormat,
		MayLack: func() bool { return e.archive.MayLack() },
	})
	e.archive, err = caarchive.NewPart(caarchive.Config{
		Self: cashard.Member{VM: e.settings.VM, Incarnation: e.life}, Zone: e.settings.Zone, Life: string(e.shard),
		Log: e.platform.Log, Shards: e.shards, Directory: e.directory, Peers: calink.Replicas{Link: e.link()},
		Witnesses: witnesses{directory: e.directory, agents: e.platform.Agents},
		Timer:     e.timer, Logger: e.log, Scope: e.scope, Format: e.recordFormat,
	})
	if err != nil {
		return err
	}
	return e.shards.Open(e.shard)
}

func (e *Entry) wireRequests() {
	e.keys = cadedupe.New(cadedupe.Config{
		Self:  cadedupe.Member{ID: e.settings.VM, Incarnation: e.life},
		Timer: e.timer, Logger: e.log, Peers: calink.Keys{Link: e.link()},
		Fencer: fencer{launcher: e.launcher}, Bounds: cadedupe.DefaultBounds(),
	})
	e.dispatcher = cadispatch.New(cadispatch.Config{
		// Until a configuration is in force.
		Policy: cadispatch.Policy{Placement: cawork.PlacementSpread},
		Self:   e.settings.VM, Zone: e.settings.Zone, Timer: e.timer, Logger: e.log, Scope: e.scope,
		CrossingDelay: crossingDelay, Lender: calink.Slots{Link: e.link()}, Keys: e.keys,
	})
}

func (e *Entry) wireAPI(metrics http.Handler) {
	limits, times := e.settings.Limits, e.settings.Timeouts
	bounds := caapi.Limits{
		HeaderTime: times.Header, BodyTime: times.Body, IdleTime: times.Idle, RequestTime: times.Request,
		HeaderBytes: int(limits.Header), BodyBytes: int64(limits.Body), Connections: limits.Connections,
	}
	e.api = caapi.NewAPI(caapi.Config{
		Limits:     bounds,
		Authorizer: authorizer{active: e.active},
		Jobs:       jobs{launcher: e.launcher},
		Requests:   e.dispatcher,
		Status:     e,
	})
	e.operators = caapi.NewOperators(caapi.OperatorsConfig{Limits: bounds, Status: e, Metrics: metrics})
	e.peers = capeer.NewServer()
	if !e.version.isUnnumbered() {
		e.peers.GreetAs(e.greeting)
	}
	calink.Register(e.peers, calink.Parts{
		Members: e.members, Shards: e.shards, Follower: e.follower,
		Dispatcher: e.dispatcher, Keys: e.keys, Launcher: e.launcher, Quota: e.quota,
	})
}

// APIAddress returns the address that serves callers.
func (e *Entry) APIAddress() string { return e.apiListener.Addr().String() }

// OperatorsAddress returns the address that serves operators.
func (e *Entry) OperatorsAddress() string { return e.operatorsListener.Addr().String() }

// PeerAddress returns the address that serves other entries.
func (e *Entry) PeerAddress() string { return e.peerListener.Addr().String() }

// Done is closed when the entry has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

func (e *Entry) violated(v *casched.Violation) {
	e.scope.Counter("scheduler_violations").Inc(1)
	caevent.Log(e.log, zerolog.ErrorLevel, caevent.InvariantBroken).
		Str("invariant", v.Invariant.String()).Str("detail", v.Detail).Send()
}

// shardID returns the id of a shard that the entry founds at a time, in
// milliseconds of Unix time. It is never used twice.
func shardID(vm cawork.VMID, at int64) cawork.ShardID {
	return cawork.ShardID(string(vm) + "-" + strconv.FormatInt(at, 36))
}

// replaceShard founds a new shard for the jobs to come, after the former one
// was taken over because this entry was paused or cut off.
func (e *Entry) replaceShard() {
	next := shardID(e.settings.VM, e.timer.Now().UnixMilli())
	if err := e.shards.Open(next); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "shards").AnErr("error", err).Send()
		return
	}
	e.shard = next
	e.launcher.SetShard(next)
	e.quota.SetShard(next)
}

func (e *Entry) isDraining() bool {
	select {
	case <-e.draining:
		return true
	default:
		return false
	}
}

// shardListener forwards the news of shards to the launcher.
type shardListener Entry

// ShardEvent implements cashard.Listener.
func (l *shardListener) ShardEvent(ev cashard.Event) {
	if ev.Type == cashard.EventTakenOver || ev.Type == cashard.EventDeposed {
		l.quota.LedChanged()
	}
	l.archive.Changed(ev)
	l.launcher.ShardEvent(ev)
	if e := (*Entry)(l); ev.Type == cashard.EventDeposed && ev.Shard == e.shard && !e.isDraining() {
		e.replaceShard()
	}
}

// ShardCommitted implements cashard.Listener.
func (l *shardListener) ShardCommitted(id cawork.ShardID, index int64, record []byte) {
	l.archive.Committed(id, index, record)
	l.quota.Committed()
}

// lateParts reaches parts of an entry that are wired after those that use them.
type lateParts struct{ entry *Entry }

// LoggedShards implements caquota.Archive.
func (a lateParts) LoggedShards(ctx context.Context) (kept, retired []cawork.ShardID, err error) {
	return a.entry.archive.LoggedShards(ctx)
}

// RetiredDealings implements caquota.Archive.
func (a lateParts) RetiredDealings(ctx context.Context, with cawork.ShardID) ([]caescrow.Dealings, error) {
	return a.entry.archive.RetiredDealings(ctx, with)
}

// EndShard implements caquota.Ender.
func (a lateParts) EndShard(ctx context.Context, s cawork.ShardID) bool {
	return a.entry.launcher.EndShard(ctx, s)
}

// witnesses reaches the registers of upstreams.
type witnesses struct {
	directory *cadirectory.Directory
	agents    caplatform.Agents
}

// ReadRegister implements cashard.Witnesses.
func (w witnesses) ReadRegister(ctx context.Context, u cawork.UpstreamID, name string) (caplatform.Register, error) {
	vm, ok := w.directory.Upstream(u)
	if !ok {
		return caplatform.Register{}, cakind.New(cakind.KindUnavailable, "upstream %s is not listed", u)
	}
	return w.agents.Agent(vm.Address).ReadRegister(ctx, name)
}

// SwapRegister implements cashard.Witnesses.
func (w witnesses) SwapRegister(ctx context.Context, u cawork.UpstreamID, s caplatform.RegisterSwap) (caplatform.Register, error) {
	vm, ok := w.directory.Upstream(u)
	if !ok {
		return caplatform.Register{}, cakind.New(cakind.KindUnavailable, "upstream %s is not listed", u)
	}
	return w.agents.Agent(vm.Address).SwapRegister(ctx, s)
}
