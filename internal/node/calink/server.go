package calink

import (
	"context"

	"celeryarch.example/celeryarch/internal/coord/cafollow"
	"celeryarch.example/celeryarch/internal/coord/camember"
	"celeryarch.example/celeryarch/internal/coord/cashard"
	"celeryarch.example/celeryarch/internal/node/calaunch"
	"celeryarch.example/celeryarch/internal/node/capeer"
	"celeryarch.example/celeryarch/internal/node/caquota"
	"celeryarch.example/celeryarch/internal/request/cadedupe"
	"celeryarch.example/celeryarch/internal/request/cadispatch"
	"celeryarch.example/celeryarch/internal/request/caroute"
)

// Components are the components of an entry that handle calls from other entries.
type Components struct {
	Members    *camember.Membership
	Shards     *cashard.ReplicaManager
	Follower   *cafollow.Follower
	Dispatcher *cadispatch.Dispatcher
	Keys       *cadedupe.Service
	Launcher   *calaunch.Launcher
	Quota      *caquota.Manager
}

// Register adds the handlers of all components to the server.
func Register(s *capeer.Server, p Components) {
	capeer.Handle(s, callExchange, p.Members.HandleExchange)
	capeer.Handle(s, callProbe, replyEmpty(p.Members.HandleProbe))
	capeer.Handle(s, callReplicate, p.Shards.HandleReplicate)
	capeer.Handle(s, callStanding, p.Shards.HandleReplicaStatus)
	capeer.Handle(s, callFetchConfig, func(context.Context, cafollow.Version) (cafollow.Snapshot, error) {
		return p.Follower.Current(), nil
	})
	registerRequests(s, p)
	registerJobs(s, p.Launcher)
	capeer.Handle(s, callAsk, p.Quota.HandleAsk)
	capeer.Handle(s, callHeldShards, p.Quota.HandleHeldShards)
	capeer.Handle(s, callSettle, p.Quota.HandleSettle)
	capeer.Handle(s, callClose, p.Quota.HandleClosePartner)
	capeer.Handle(s, callSettled, p.Quota.HandleMintEffective)
	capeer.Handle(s, callTransfer, replyEmpty(p.Quota.HandleTransfer))
}

func registerRequests(s *capeer.Server, p Components) {
	capeer.Handle(s, callBorrow, func(_ context.Context, r cadispatch.BorrowRequest) (cadispatch.BorrowResponse, error) {
		return p.Dispatcher.HandleBorrow(r), nil
	})
	capeer.Handle(s, callReturn, func(_ context.Context, id caroute.GrantID) (Empty, error) {
		p.Dispatcher.HandleReturn(id)
		return Empty{}, nil
	})
	capeer.Handle(s, callKeyOpen, p.Keys.HandleClaim)
	capeer.Handle(s, callKeyIntend, replyEmpty(p.Keys.HandleRecordAttempt))
	capeer.Handle(s, callKeySettle, replyEmpty(p.Keys.HandleSettle))
	capeer.Handle(s, callKeyReplicate, p.Keys.HandleReplicate)
}

func registerJobs(s *capeer.Server, l *calaunch.Launcher) {
	capeer.Handle(s, callPoll, l.HandlePoll)
	capeer.Handle(s, callReserve, l.HandleReserve)
	capeer.Handle(s, callRelease, replyEmpty(l.HandleRelease))
	capeer.Handle(s, callStartReserved, l.HandleStartReserved)
	capeer.Handle(s, callAct, l.HandleControl)
	capeer.Handle(s, callSilence, l.HandleSilence)
	capeer.Handle(s, callGetJob, l.HandleGetJob)
	capeer.Handle(s, callSubmitJob, l.HandleSubmit)
	capeer.Handle(s, callCancelJob, replyEmpty(l.HandleCancel))
	capeer.Handle(s, callHandover, replyEmpty(l.HandleHandover))
	capeer.Handle(s, callFindKey, l.HandleFindKey)
}
