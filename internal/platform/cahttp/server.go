package cahttp

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/platform/cawire"
)

// ServerProtocols returns the protocols for a server of these services: HTTP/2 for
// the clients of this package, and HTTP/1 for operators and requests.
func ServerProtocols() *http.Protocols {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &protocols
}

// HandleLog adds the paths of the log service to the mux.
func HandleLog(mux *http.ServeMux, l caplatform.Log) {
	mux.Handle(PathAppend, cawire.Handler(func(ctx context.Context, c AppendCall) (AppendAnswer, error) {
		offset, err := l.Append(ctx, c.Topic, c.Payloads)
		return AppendAnswer{Offset: offset}, err
	}))
	mux.Handle(PathRead, cawire.Handler(func(ctx context.Context, c ReadCall) (caplatform.Page, error) {
		return l.Read(ctx, c.Topic, c.From, c.Limit)
	}))
}

// HandleVMList adds the path of the list of VMs to the mux.
func HandleVMList(mux *http.ServeMux, v caplatform.VMList) {
	mux.Handle(PathListVMs, cawire.Handler(func(ctx context.Context, c VMListCall) (VMListAnswer, error) {
		vms, err := v.List(ctx)
		if err != nil {
			return VMListAnswer{}, err
		}
		version, err := listVersion(vms)
		if err != nil || version == c.KnownVersion {
			return VMListAnswer{Version: version}, err
		}
		return VMListAnswer{Version: version, VMs: vms}, nil
	}))
}

// listVersion returns a hash of the list.
func listVersion(vms []caplatform.VM) (string, error) {
	body, err := json.Marshal(vms)
	if err != nil {
		return "", cakind.Wrap(cakind.KindInternal, err, "encode the list of VMs")
	}
	return strconv.FormatUint(xxhash.Sum64(body), 16), nil
}

// HandleAgent adds the paths of an agent to the mux.
func HandleAgent(mux *http.ServeMux, a caplatform.Agent) {
	mux.Handle(PathClaim, cawire.Handler(a.Claim))
	mux.Handle(PathHeartbeat, serveHeartbeat(a))
	mux.Handle(PathStart, cawire.Handler(a.Start))
	mux.Handle(PathStop, cawire.Handler(a.Stop))
	mux.Handle(PathSwapRegister, cawire.Handler(a.SwapRegister))
	mux.Handle(PathRelease, cawire.Handler(func(ctx context.Context, o caplatform.Ownership) (Empty, error) {
		return Empty{}, a.Release(ctx, o)
	}))
	mux.Handle(PathFence, cawire.Handler(func(ctx context.Context, f caplatform.ShardFence) (FenceAnswer, error) {
		tasks, err := a.Fence(ctx, f)
		return FenceAnswer{Tasks: tasks}, err
	}))
	mux.Handle(PathReadRegister, cawire.Handler(func(ctx context.Context, c ReadRegisterCall) (caplatform.Register, error) {
		return a.ReadRegister(ctx, c.Name)
	}))
}
