package calink

import (
	"context"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/node/calaunch"
	"celeryarch.example/celeryarch/internal/node/caquota"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// Members implements camember.Peers.
type Members struct{ *Link }

// Exchange implements camember.Peers.
func (m Members) Exchange(ctx context.Context, address string, r camember.ExchangeRequest) (camember.ExchangeReply, error) {
	return callAt[camember.ExchangeRequest, camember.ExchangeReply](ctx, m.Link, address, callExchange, r)
}

// ProbeVia implements camember.Peers.
func (m Members) ProbeVia(ctx context.Context, address string, t camember.ProbeTarget) error {
	_, err := callAt[camember.ProbeTarget, Empty](ctx, m.Link, address, callProbe, t)
	return err
}

// Replicas implements cashard.PeerClient.
type Replicas struct{ *Link }

// Replicate implements cashard.PeerClient.
func (p Replicas) Replicate(ctx context.Context, to cawork.VMID, r cashard.ReplicateRequest) (cashard.ReplicateReply, error) {
	return call[cashard.ReplicateRequest, cashard.ReplicateReply](ctx, p.Link, to, callReplicate, r)
}

// Standing implements caarchive.PeerClient.
func (p Replicas) Standing(ctx context.Context, to cawork.VMID, s cawork.ShardID) (cashard.ReplicaStatus, error) {
	return call[cawork.ShardID, cashard.ReplicaStatus](ctx, p.Link, to, callStanding, s)
}

// Configs implements cafollow.Peers.
type Configs struct{ *Link }

// FetchConfig implements cafollow.Peers.
func (c Configs) FetchConfig(ctx context.Context, vm cawork.VMID, v cafollow.Version) (cafollow.Snapshot, error) {
	return call[cafollow.Version, cafollow.Snapshot](ctx, c.Link, vm, callFetchConfig, v)
}

// Slots implements cadispatch.SlotLender.
type Slots struct{ *Link }

// Borrow implements cadispatch.SlotLender.
func (s Slots) Borrow(ctx context.Context, owner cawork.VMID, r cadispatch.BorrowRequest) (cadispatch.BorrowResponse, error) {
	return call[cadispatch.BorrowRequest, cadispatch.BorrowResponse](ctx, s.Link, owner, callBorrow, r)
}

// Return implements cadispatch.SlotLender.
func (s Slots) Return(ctx context.Context, owner cawork.VMID, id caroute.GrantID) error {
	return notify(ctx, s.Link, owner, callReturn, id)
}

// Keys implements cadedupe.Peers.
type Keys struct{ *Link }

// Claim implements cadedupe.Peers.
func (k Keys) Claim(ctx context.Context, to cawork.VMID, r cadedupe.ClaimRequest) (cadedupe.Record, error) {
	return call[cadedupe.ClaimRequest, cadedupe.Record](ctx, k.Link, to, callKeyOpen, r)
}

// RecordAttempt implements cadedupe.Peers.
func (k Keys) RecordAttempt(ctx context.Context, to cawork.VMID, r cadedupe.RecordAttemptRequest) error {
	return notify(ctx, k.Link, to, callKeyIntend, r)
}

// Settle implements cadedupe.Peers.
func (k Keys) Settle(ctx context.Context, to cawork.VMID, r cadedupe.SettleRequest) error {
	return notify(ctx, k.Link, to, callKeySettle, r)
}

// Replicate implements cadedupe.Peers.
func (k Keys) Replicate(ctx context.Context, to cawork.VMID, r cadedupe.Record) (cadedupe.Record, error) {
	return call[cadedupe.Record, cadedupe.Record](ctx, k.Link, to, callKeyReplicate, r)
}

// Jobs implements calaunch.Peers.
type Jobs struct{ *Link }

// Poll implements calaunch.Peers.
func (j Jobs) Poll(ctx context.Context, to cawork.VMID, r calaunch.PollRequest) (calaunch.PollReply, error) {
	return call[calaunch.PollRequest, calaunch.PollReply](ctx, j.Link, to, callPoll, r)
}

// Reserve implements calaunch.Peers.
func (j Jobs) Reserve(ctx context.Context, to cawork.VMID, r calaunch.ReserveCall) (calaunch.ReserveReply, error) {
	return call[calaunch.ReserveCall, calaunch.ReserveReply](ctx, j.Link, to, callReserve, r)
}

// ReleaseReservation implements calaunch.Peers.
func (j Jobs) ReleaseReservation(ctx context.Context, to cawork.VMID, r calaunch.ReleaseCall) error {
	return notify(ctx, j.Link, to, callRelease, r)
}

// StartReserved implements calaunch.Peers.
func (j Jobs) StartReserved(ctx context.Context, to cawork.VMID, r calaunch.StartReservedCall) (calaunch.StartReservedReply, error) {
	return call[calaunch.StartReservedCall, calaunch.StartReservedReply](ctx, j.Link, to, callStartReserved, r)
}

// Control implements calaunch.Peers.
func (j Jobs) Control(ctx context.Context, to cawork.VMID, r calaunch.ControlCall) (caplatform.TaskStatus, error) {
	return call[calaunch.ControlCall, caplatform.TaskStatus](ctx, j.Link, to, callAct, r)
}

// Silence implements calaunch.Peers.
func (j Jobs) Silence(ctx context.Context, to cawork.VMID, r calaunch.SilenceCall) (calaunch.SilenceReply, error) {
	return call[calaunch.SilenceCall, calaunch.SilenceReply](ctx, j.Link, to, callSilence, r)
}

// GetJob implements calaunch.Peers.
func (j Jobs) GetJob(ctx context.Context, to cawork.VMID, r calaunch.GetJobCall) (calaunch.JobView, error) {
	return call[calaunch.GetJobCall, calaunch.JobView](ctx, j.Link, to, callGetJob, r)
}

// SubmitJob implements calaunch.Peers.
func (j Jobs) SubmitJob(ctx context.Context, to cawork.VMID, r calaunch.SubmitCall) (calaunch.SubmitReply, error) {
	return call[calaunch.SubmitCall, calaunch.SubmitReply](ctx, j.Link, to, callSubmitJob, r)
}

// CancelJob implements calaunch.Peers.
func (j Jobs) CancelJob(ctx context.Context, to cawork.VMID, r calaunch.CancelCall) error {
	return notify(ctx, j.Link, to, callCancelJob, r)
}

// Handover implements calaunch.Peers.
func (j Jobs) Handover(ctx context.Context, to cawork.VMID, h cajob.Handover) error {
	return notify(ctx, j.Link, to, callHandover, h)
}

// FindKey implements calaunch.Peers.
func (j Jobs) FindKey(ctx context.Context, to cawork.VMID, r calaunch.FindKeyCall) (calaunch.FindKeyReply, error) {
	return call[calaunch.FindKeyCall, calaunch.FindKeyReply](ctx, j.Link, to, callFindKey, r)
}

// Quotas implements caquota.PeerClient.
type Quotas struct{ *Link }

// Ask implements caquota.PeerClient.
func (q Quotas) Ask(ctx context.Context, to cawork.VMID, ask caescrow.Ask) (caquota.AskReply, error) {
	return call[caescrow.Ask, caquota.AskReply](ctx, q.Link, to, callAsk, ask)
}

// SendTransfer implements caquota.PeerClient.
func (q Quotas) SendTransfer(ctx context.Context, to cawork.VMID, t caescrow.Transfer) error {
	return notify(ctx, q.Link, to, callTransfer, t)
}

// MintEffective implements caquota.PeerClient.
func (q Quotas) MintEffective(ctx context.Context, to cawork.VMID, r caquota.MintEffectiveCall) (caquota.MintEffectiveReply, error) {
	return call[caquota.MintEffectiveCall, caquota.MintEffectiveReply](ctx, q.Link, to, callSettled, r)
}

// HeldShards implements caquota.PeerClient.
func (q Quotas) HeldShards(ctx context.Context, to cawork.VMID) (caquota.HeldShardsReply, error) {
	return call[struct{}, caquota.HeldShardsReply](ctx, q.Link, to, callHeldShards, struct{}{})
}

// Settle implements caquota.PeerClient.
func (q Quotas) Settle(ctx context.Context, to cawork.VMID, r caquota.SettleCall) (cajob.PartnerSettled, error) {
	return call[caquota.SettleCall, cajob.PartnerSettled](ctx, q.Link, to, callSettle, r)
}

// ClosePartner implements caquota.PeerClient.
func (q Quotas) ClosePartner(ctx context.Context, to cawork.VMID, r caquota.ClosePartnerCall) (caescrow.ClosingBalance, error) {
	return call[caquota.ClosePartnerCall, caescrow.ClosingBalance](ctx, q.Link, to, callClose, r)
}
