// Package cahttp provides clients and servers for the services of the platform,
// with JSON over HTTP.
package cahttp

import (
	"context"
	"net/http"
	"time"

	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/platform/cawire"
)

// Paths of the services.
const (
	PathAppend       = "/log/v1/append"
	PathRead         = "/log/v1/read"
	PathListVMs      = "/vms/v1/list"
	PathClaim        = "/agent/v1/claim"
	PathHeartbeat    = "/agent/v1/heartbeat"
	PathRelease      = "/agent/v1/release"
	PathStart        = "/agent/v1/start"
	PathStop         = "/agent/v1/stop"
	PathFence        = "/agent/v1/fence"
	PathReadRegister = "/agent/v1/read_register"
	PathSwapRegister = "/agent/v1/swap_register"
)

const (
	// connectionsPerHost bounds the control connections to one service.
	connectionsPerHost = 4
	// keepaliveInterval is the time without a received frame after which the
	// client pings a connection, and pingTimeout the time it waits for the
	// answer. Their sum is below the lease of an upstream, so that a broken
	// connection is replaced before the lease expires.
	keepaliveInterval = 1500 * time.Millisecond
	pingTimeout       = 500 * time.Millisecond
	// idleTimeout closes connections without a call. Owned upstreams and the log
	// are called each second.
	idleTimeout = 10 * time.Second
)

// Empty is the body of a call or an answer without fields.
type Empty struct{}

// AppendCall is the body of an append to the log.
type AppendCall struct {
	Topic    string   `json:"topic"`
	Payloads [][]byte `json:"payloads"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset caplatform.Offset `json:"offset"`
}

// ReadCall is the body of a read from the log.
type ReadCall struct {
	Topic string            `json:"topic"`
	From  caplatform.Offset `json:"from"`
	Limit int               `json:"max"`
}

// FenceAnswer is the answer to a fence.
type FenceAnswer struct {
	Tasks []caplatform.TaskStatus `json:"tasks"`
}

// ReadRegisterCall is the body of a read of a register.
type ReadRegisterCall struct {
	Name string `json:"name"`
}

// NewClient returns a client for control calls with the timeout. It uses HTTP/2,
// whose header compression encodes a repeated header as one byte.
func NewClient(timeout time.Duration) *http.Client {
	var protocols http.Protocols
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		MaxConnsPerHost:     connectionsPerHost,
		MaxIdleConnsPerHost: connectionsPerHost,
		IdleConnTimeout:     idleTimeout,
		Protocols:           &protocols,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: keepaliveInterval, PingTimeout: pingTimeout},
	}
	return &http.Client{Transport: transport, Timeout: timeout}
}

// Log is a client of the log service at a base URL.
type Log struct {
	client *http.Client
	base   string
}

// NewLog returns a client of the log service at a URL.
func NewLog(client *http.Client, base string) *Log { return &Log{client: client, base: base} }

// Append implements caplatform.Log.
func (l *Log) Append(ctx context.Context, topic string, payloads [][]byte) (caplatform.Offset, error) {
	call := AppendCall{Topic: topic, Payloads: payloads}
	answer, err := cawire.Post[AppendCall, AppendAnswer](ctx, l.client, l.base+PathAppend, call)
	return answer.Offset, err
}

// Read implements caplatform.Log.
func (l *Log) Read(ctx context.Context, topic string, from caplatform.Offset, limit int) (caplatform.Page, error) {
	call := ReadCall{Topic: topic, From: from, Limit: limit}
	return cawire.Post[ReadCall, caplatform.Page](ctx, l.client, l.base+PathRead, call)
}

// Agents creates clients of the agents of upstreams.
type Agents struct {
	client *http.Client
}

// NewAgents returns an Agents whose clients share the HTTP client.
func NewAgents(client *http.Client) *Agents { return &Agents{client: client} }

// Agent implements caplatform.Agents.
func (a *Agents) Agent(address string) caplatform.Agent {
	return &Agent{client: a.client, base: "http://" + address}
}

// Agent is a client of the agent of one upstream.
type Agent struct {
	client *http.Client
	base   string
}

// Claim implements caplatform.Agent.
func (a *Agent) Claim(ctx context.Context, c caplatform.Claim) (caplatform.ClaimResult, error) {
	return cawire.Post[caplatform.Claim, caplatform.ClaimResult](ctx, a.client, a.base+PathClaim, c)
}

// Release implements caplatform.Agent.
func (a *Agent) Release(ctx context.Context, o caplatform.Ownership) error {
	_, err := cawire.Post[caplatform.Ownership, Empty](ctx, a.client, a.base+PathRelease, o)
	return err
}

// Start implements caplatform.Agent.
func (a *Agent) Start(ctx context.Context, s caplatform.Start) (caplatform.TaskStatus, error) {
	return cawire.Post[caplatform.Start, caplatform.TaskStatus](ctx, a.client, a.base+PathStart, s)
}

// Stop implements caplatform.Agent.
func (a *Agent) Stop(ctx context.Context, s caplatform.Stop) (caplatform.TaskStatus, error) {
	return cawire.Post[caplatform.Stop, caplatform.TaskStatus](ctx, a.client, a.base+PathStop, s)
}

// Fence implements caplatform.Agent.
func (a *Agent) Fence(ctx context.Context, f caplatform.ShardFence) ([]caplatform.TaskStatus, error) {
	answer, err := cawire.Post[caplatform.ShardFence, FenceAnswer](ctx, a.client, a.base+PathFence, f)
	return answer.Tasks, err
}

// ReadRegister implements caplatform.Agent.
func (a *Agent) ReadRegister(ctx context.Context, name string) (caplatform.Register, error) {
	call := ReadRegisterCall{Name: name}
	return cawire.Post[ReadRegisterCall, caplatform.Register](ctx, a.client, a.base+PathReadRegister, call)
}

// SwapRegister implements caplatform.Agent.
func (a *Agent) SwapRegister(ctx context.Context, s caplatform.RegisterSwap) (caplatform.Register, error) {
	return cawire.Post[caplatform.RegisterSwap, caplatform.Register](ctx, a.client, a.base+PathSwapRegister, s)
}
