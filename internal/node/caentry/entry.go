// Package caentry connects the components of an entry and runs them.
//
// The API receives the calls of clients. A request goes to the dispatcher,
// which sends it to an upstream with a free slot. A job goes to the launcher,
// which records it in the shard that this entry leads and starts its tasks on
// upstreams that are owned by this entry or by another entry of the zone.
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

// Deps holds the dependencies that the process provides to an entry.
type Deps struct {
	Logger         zerolog.Logger
	Scope          tally.Scope
	MetricsHandler http.Handler
	Timer          *catimer.Service
	// Version is the version that this entry announces. The zero value means
	// the versions that this program supports; tests set others.
	Version Version
}

// Version is the version that an entry announces to other entries.
type Version struct {
	Protocols caversion.Range
	// Format is the newest record format that the entry reads and writes.
	Format caversion.Format
}

// predatesGreetings reports whether the entry sends no version greeting, as in
// version 0.2.0.
func (v Version) predatesGreetings() bool { return v.Protocols.Newest == caversion.ProtocolUnnumbered }

func (v Version) orDefault() Version {
	if v.Protocols.IsZero() {
		return Version{Protocols: caversion.Supported(), Format: caversion.FormatNewest}
	}
	return v
}

// Platform gives an entry access to the platform services and the network.
type Platform struct {
	Log    caplatform.Log
	VMs    caplatform.VMList
	Agents caplatform.Agents
	Listen func(address string) (net.Listener, error)
	Dial   capeer.DialFunc
}

// NewPlatform returns a Platform that reaches the platform services over HTTP,
// at the addresses in the settings, and other entries over TCP. It logs what it leaves out of
// the list of VMs.
func NewPlatform(s casettings.Settings, log zerolog.Logger) Platform {
	client := cahttp.NewClient(s.Timeouts.Platform)
	return Platform{
		Log:    cahttp.NewLog(client, s.Platform.Log),
		VMs:    cahttp.NewVMList(client, s.Platform.VMList).WithLog(log),
		Agents: cahttp.NewAgents(cahttp.NewClient(agentTimeout)),
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:   capeer.DialTCP,
	}
}

// Entry is a scheduler node with all its components.
type Entry struct {
	settings    casettings.Settings
	platform    Platform
	log         zerolog.Logger
	scope       tally.Scope
	timer       *catimer.Service
	checker     *cacheck.Checker
	incarnation int64
	shard       cawork.ShardID
	version     Version
	startedAt   time.Time
	// format is the record format in use, a caversion.Format.
	format atomic.Int64

	vmList          *calist.Poller
	directory       *cadirectory.Directory
	members         *camember.Membership
	ownership       *caowner.Runner
	shards          *cashard.ReplicaManager
	follower        *cafollow.Follower
	activeConfig    *caactive.Tracker
	launcher        *calaunch.Launcher
	quota           *caquota.Manager
	archive         *caarchive.Archiver
	dispatcher      *cadispatch.Dispatcher
	idempotencyKeys *cadedupe.Service
	api             *caapi.API
	operatorsAPI    *caapi.OperatorAPI
	peerServer      *capeer.Server
	peerClient      *capeer.Client

	apiListener       net.Listener
	operatorsListener net.Listener
	peerListener      net.Listener
	serverTLS         *tls.Config
	draining          chan struct{}
	// stop stops all components immediately, without draining.
	stop context.CancelFunc
	done chan struct{}
}

// NewEntry creates an entry and opens its listeners. It returns an error if an
// address is in use or a TLS file cannot be read.
func NewEntry(s casettings.Settings, deps Deps, platform Platform) (*Entry, error) {
	e := &Entry{
		settings:  s,
		platform:  platform,
		log:       deps.Logger.With().Str("vm", string(s.VM)).Logger(),
		scope:     deps.Scope,
		timer:     deps.Timer,
		draining:  make(chan struct{}),
		done:      make(chan struct{}),
		version:   deps.Version.orDefault(),
		startedAt: deps.Timer.Now(),
	}
	e.format.Store(int64(caversion.FormatUnnumbered))
	e.checker = cacheck.New(e.log, e.scope)
	if err := e.setUpNetwork(); err != nil {
		return nil, err
	}
	e.wireMembership()
	e.wireConfiguration()
	if err := e.wireJobs(); err != nil {
		return nil, err
	}
	e.wireRequests()
	e.wireAPI(deps.MetricsHandler)
	return e, nil
}

func (e *Entry) setUpNetwork() error {
	var err error
	var clientTLS *tls.Config
	if e.serverTLS, clientTLS, err = loadTLS(e.settings.TLS); err != nil {
		return err
	}
	if err := e.openListeners(); err != nil {
		return err
	}
	e.peerClient = capeer.NewClient(e.platform.Dial, clientTLS)
	return nil
}

// openListeners opens all listeners, or none if one of them fails.
func (e *Entry) openListeners() error {
	addresses := e.settings.Addresses
	var open []net.Listener
	for _, l := range []struct {
		listener *net.Listener
		clients  string
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
			return cakind.Wrap(cakind.KindUnavailable, err, "listen for %s on %s", l.clients, l.address)
		}
		*l.listener = listener
		open = append(open, listener)
	}
	return nil
}

// newLink returns a link for calls to other entries.
func (e *Entry) newLink() *calink.Link {
	return calink.NewLink(e.peerClient, e.directory, e.settings.Timeouts.Peer)
}

func (e *Entry) wireMembership() {
	e.vmList = calist.NewPoller(e.platform.VMs, e.timer, e.log, e.scope)
	e.directory = cadirectory.NewDirectory(e.settings.VM, e.settings.Zone, e.version.Format, e.vmList)
	identity := camember.Identity{VM: e.settings.VM, Address: e.peerListener.Addr().String(), Zone: e.settings.Zone}
	e.members = camember.NewMembership(camember.DefaultConfig(), identity, e.settings.Seeds, camember.Deps{
		Peers: calink.Members{Link: e.newLink()}, Timers: e.timer, Log: e.log, Scope: e.scope, Check: e.checker,
		Seed: rand.Uint64(), Greetings: e.peerClient,
	})
	if !e.version.predatesGreetings() {
		e.peerClient.SetGreeting(e.greeting)
	}
	e.directory.SetMembers(e.members)
	e.incarnation = int64(e.members.Self().Incarnation)
	e.shard = newShardID(e.settings.VM, e.incarnation)
	e.ownership = caowner.NewRunner(caowner.DefaultConfig(), e.settings.VM, e.settings.Zone, caowner.Deps{
		Agents: e.platform.Agents, Timers: e.timer, Log: e.log, Scope: e.scope, Checker: e.checker,
	})
}

func (e *Entry) wireConfiguration() {
	e.follower = cafollow.NewFollower(cafollow.Options{
		Self: e.settings.VM, Zone: e.settings.Zone, Log: e.platform.Log, Topic: cacell.Topic,
		Peers: calink.Configs{Link: e.newLink()}, Timer: e.timer, Logger: e.log, Scope: e.scope,
		Elected: e.isElected,
	})
	e.activeConfig = caactive.NewTracker(e.follower, e.timer, e.log)
}

// isElected reports whether this entry writes configuration snapshots. The live
// entry with the lowest ID does. It is harmless if two entries write them.
func (e *Entry) isElected() bool {
	for _, m := range e.directory.LivePeers() {
		if m.VM < e.settings.VM {
			return false
		}
	}
	return true
}

func (e *Entry) wireJobs() error {
	var err error
	e.shards, err = cashard.NewReplicaManager(cashard.Options{
		Self: cashard.Member{VM: e.settings.VM, Incarnation: e.incarnation}, Zone: e.settings.Zone,
		Config: cashard.DefaultConfig(), Peers: calink.Replicas{Link: e.newLink()},
		Witnesses: registerClient{directory: e.directory, agents: e.platform.Agents}, Listener: (*shardListener)(e),
		NewStateMachine: func(id cawork.ShardID) cashard.StateMachine {
			state := cajob.NewState(id, cajob.DefaultRetention())
			state.SetFormats(e.recordFormat, e.version.Format)
			return state
		},
		Timer: e.timer, Log: e.log, Scope: e.scope,
	})
	if err != nil {
		return err
	}
	e.quota = caquota.NewManager(caquota.Config{
		Zone: e.settings.Zone, Shard: e.shard, Log: e.platform.Log, Shards: e.shards, ConfigSource: e.activeConfig,
		Leaders: e.directory, Archive: lateBoundComponents{e}, Ender: lateBoundComponents{e}, Peers: calink.Quotas{Link: e.newLink()},
		Timer: e.timer, Logger: e.log, Scope: e.scope, Format: e.recordFormat,
	})
	e.launcher = calaunch.NewLauncher(calaunch.Config{
		Self: e.settings.VM, Zone: e.settings.Zone, Shard: e.shard, TaskTTL: caowner.DefaultConfig().TaskTTL,
		LapseAfter: caowner.DefaultConfig().TasksLapseAfter(),
		Scheduler:  cadecide.New(casched.DefaultPolicy(), e.logViolation), Shards: e.shards, Leases: e.ownership, Allowances: e.quota,
		Directory: e.directory, Agents: e.platform.Agents, Peers: calink.Jobs{Link: e.newLink()},
		Timer: e.timer, Logger: e.log, Scope: e.scope, Generation: e.incarnation, Format: e.recordFormat,
		MayNeedRebuild: func() bool { return e.archive.MayNeedRebuild() },
	})
	e.archive, err = caarchive.NewArchiver(caarchive.Config{
		Self: cashard.Member{VM: e.settings.VM, Incarnation: e.incarnation}, Zone: e.settings.Zone, Writer: string(e.shard),
		Log: e.platform.Log, Shards: e.shards, Directory: e.directory, Peers: calink.Replicas{Link: e.newLink()},
		Witnesses: registerClient{directory: e.directory, agents: e.platform.Agents},
		Timer:     e.timer, Logger: e.log, Scope: e.scope, Format: e.recordFormat,
	})
	if err != nil {
		return err
	}
	return e.shards.Create(e.shard)
}

func (e *Entry) wireRequests() {
	e.idempotencyKeys = cadedupe.New(cadedupe.Config{
		Self:  cadedupe.Member{ID: e.settings.VM, Incarnation: e.incarnation},
		Timer: e.timer, Logger: e.log, Peers: calink.Keys{Link: e.newLink()},
		Fencer: fencer{launcher: e.launcher}, Bounds: cadedupe.DefaultBounds(),
	})
	e.dispatcher = cadispatch.New(cadispatch.Config{
		// Used until a configuration is active.
		Policy: cadispatch.Policy{Placement: cawork.PlacementSpread},
		Self:   e.settings.VM, Zone: e.settings.Zone, Timer: e.timer, Logger: e.log, Scope: e.scope,
		CrossZoneRTT: crossZoneRTT, Lender: calink.Slots{Link: e.newLink()}, IdempotencyKeys: e.idempotencyKeys,
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
		Authorizer: authorizer{activeConfig: e.activeConfig},
		Jobs:       jobs{launcher: e.launcher},
		Requests:   e.dispatcher,
		Status:     e,
	})
	e.operatorsAPI = caapi.NewOperatorAPI(caapi.OperatorAPIConfig{Limits: bounds, Status: e, Metrics: metrics})
	e.peerServer = capeer.NewServer()
	if !e.version.predatesGreetings() {
		e.peerServer.SetGreeting(e.greeting)
	}
	calink.Register(e.peerServer, calink.Components{
		Members: e.members, Shards: e.shards, Follower: e.follower,
		Dispatcher: e.dispatcher, Keys: e.idempotencyKeys, Launcher: e.launcher, Quota: e.quota,
	})
}

// APIAddress returns the address of the client API.
func (e *Entry) APIAddress() string { return e.apiListener.Addr().String() }

// OperatorsAddress returns the address of the operator API.
func (e *Entry) OperatorsAddress() string { return e.operatorsListener.Addr().String() }

// PeerAddress returns the address on which other entries reach this one.
func (e *Entry) PeerAddress() string { return e.peerListener.Addr().String() }

// Done returns a channel that is closed when the entry has stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }

func (e *Entry) logViolation(v *casched.Violation) {
	e.scope.Counter("scheduler_violations").Inc(1)
	caevent.Log(e.log, zerolog.ErrorLevel, caevent.InvariantBroken).
		Str("invariant", v.Invariant.String()).Str("detail", v.Detail).Send()
}

// newShardID returns the ID of a shard that the entry creates at the given Unix
// time in milliseconds. IDs are never reused.
func newShardID(vm cawork.VMID, unixMillis int64) cawork.ShardID {
	return cawork.ShardID(string(vm) + "-" + strconv.FormatInt(unixMillis, 36))
}

// replaceShard creates a shard for new jobs after another entry took over the
// previous one because this entry was paused or partitioned.
func (e *Entry) replaceShard() {
	id := newShardID(e.settings.VM, e.timer.Now().UnixMilli())
	if err := e.shards.Create(id); err != nil {
		caevent.Warn(e.log, caevent.PartFailed).Str("part", "shards").AnErr("error", err).Send()
		return
	}
	e.shard = id
	e.launcher.SetShard(id)
	e.quota.SetShard(id)
}

func (e *Entry) isDraining() bool {
	select {
	case <-e.draining:
		return true
	default:
		return false
	}
}

// shardListener forwards shard events to the quota, the archive and the
// launcher.
type shardListener Entry

// ShardEvent implements cashard.Listener.
func (l *shardListener) ShardEvent(ev cashard.Event) {
	if ev.Type == cashard.EventTakenOver || ev.Type == cashard.EventDeposed {
		l.quota.TriggerExchange()
	}
	l.archive.ApplyShardEvent(ev)
	l.launcher.ShardEvent(ev)
	if e := (*Entry)(l); ev.Type == cashard.EventDeposed && ev.Shard == e.shard && !e.isDraining() {
		e.replaceShard()
	}
}

// ShardCommitted implements cashard.Listener.
func (l *shardListener) ShardCommitted(id cawork.ShardID, index int64, record []byte) {
	l.archive.AppendRecord(id, index, record)
	l.quota.TriggerAfterCommit()
}

// lateBoundComponents gives access to components of an entry that are created after
// the components that use them.
type lateBoundComponents struct{ entry *Entry }

// LoggedShards implements caquota.ShardLog.
func (c lateBoundComponents) LoggedShards(ctx context.Context) (kept, retired []cawork.ShardID, err error) {
	return c.entry.archive.LoggedShards(ctx)
}

// RetiredTransferCounters implements caquota.ShardLog.
func (c lateBoundComponents) RetiredTransferCounters(ctx context.Context, with cawork.ShardID) ([]caescrow.TransferCounters, error) {
	return c.entry.archive.RetiredTransferCounters(ctx, with)
}

// StopLostShard implements caquota.AttemptStopper.
func (c lateBoundComponents) StopLostShard(ctx context.Context, s cawork.ShardID) bool {
	return c.entry.launcher.StopLostShard(ctx, s)
}

// registerClient reads and swaps the registers of upstreams.
type registerClient struct {
	directory *cadirectory.Directory
	agents    caplatform.Agents
}

// ReadRegister implements cashard.RegisterClient.
func (c registerClient) ReadRegister(ctx context.Context, u cawork.UpstreamID, name string) (caplatform.Register, error) {
	vm, ok := c.directory.Upstream(u)
	if !ok {
		return caplatform.Register{}, cakind.New(cakind.KindUnavailable, "upstream %s is not in the VM list", u)
	}
	return c.agents.Agent(vm.Address).ReadRegister(ctx, name)
}

// SwapRegister implements cashard.RegisterClient.
func (c registerClient) SwapRegister(ctx context.Context, u cawork.UpstreamID, s caplatform.RegisterSwap) (caplatform.Register, error) {
	vm, ok := c.directory.Upstream(u)
	if !ok {
		return caplatform.Register{}, cakind.New(cakind.KindUnavailable, "upstream %s is not in the VM list", u)
	}
	return c.agents.Agent(vm.Address).SwapRegister(ctx, s)
}
