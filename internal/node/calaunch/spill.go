package calaunch

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/core/cagang"
	"celeryarch.example/celeryarch/internal/core/casched"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

const (
	// maxConcurrentSpills bounds the jobs that are spilled to other owners
	// at once.
	maxConcurrentSpills = 8
	// reservationTTL is how long an owner holds a reservation before the
	// start arrives.
	reservationTTL = 5 * time.Second
	// spillRetryDelay is the time between two negotiations for the same job.
	spillRetryDelay = 500 * time.Millisecond
)

// spill requests capacity from other owners for jobs that do not fit on the
// owned upstreams.
func (l *Launcher) spill() {
	if len(l.spilling) >= maxConcurrentSpills {
		return
	}
	unplaced := l.Scheduler.UnplacedJobs(maxConcurrentSpills, l.now())
	if len(unplaced) == 0 {
		return
	}
	owners := l.Directory.ZoneOwners()
	for _, u := range unplaced {
		if _, busy := l.spilling[u.Job]; busy || len(l.spilling) >= maxConcurrentSpills {
			continue
		}
		candidates := slices.DeleteFunc(slices.Clone(owners), func(o Owner) bool { return !u.Size.Fits(o.LargestHole) })
		if len(candidates) == 0 {
			continue
		}
		l.spilling[u.Job] = struct{}{}
		l.calls.Go(func() { l.negotiate(u, candidates) })
	}
}

// negotiate requests reservations for a job from the owners. For a gang it also
// asks this entry.
func (l *Launcher) negotiate(u casched.UnplacedJob, owners []Owner) {
	var ids []cawork.VMID
	for _, o := range owners {
		ids = append(ids, o.VM)
	}
	if u.Kind == cawork.WorkKindGang {
		ids = append(ids, l.Self)
	}
	negotiation := cagang.New(u, ids, uuid.NewString(), l.now().Add(reservationTTL))
	for ask, ok := negotiation.Next(); ok; ask, ok = negotiation.Next() {
		reply, err := l.reserveAt(ask)
		if err != nil {
			negotiation.RecordRefusal()
			continue
		}
		negotiation.RecordGrant(casched.Reservation{ID: ask.Request.ID, Upstreams: reply.Upstreams, Expires: ask.Request.Expires})
	}
	l.post(func() { l.placeNegotiated(u, negotiation) })
}

func (l *Launcher) reserveAt(ask cagang.OwnerRequest) (ReserveReply, error) {
	ctx, cancel := context.WithTimeout(l.ctx, peerTimeout)
	defer cancel()
	call := ReserveCall{Request: ask.Request, TTL: reservationTTL}
	if ask.Owner == l.Self {
		return l.HandleReserve(ctx, call)
	}
	return l.Peers.Reserve(ctx, ask.Owner, call)
}

// placeNegotiated places the tasks of a job in the capacity reserved by the
// owners.
func (l *Launcher) placeNegotiated(u casched.UnplacedJob, negotiation *cagang.Negotiation) {
	parts := negotiation.Reservations()
	local := casched.ReservationID("")
	for _, part := range parts {
		if part.Owner == l.Self && len(part.Placements) > 0 {
			local = part.Reservation
		}
	}
	if !negotiation.CanPlace(l.now()) {
		l.releaseParts(parts)
		l.delaySpillRetry(u.Job)
		return
	}
	d, err := l.Scheduler.PlaceReserved(negotiation.Placements(), local, l.now())
	if err != nil {
		l.releaseParts(parts)
		l.delaySpillRetry(u.Job)
		return
	}
	delete(l.spilling, u.Job)
	l.logDecision(d)
	l.place(d, parts)
	l.releaseParts(slices.DeleteFunc(parts, func(part cagang.OwnerReservation) bool { return len(part.Placements) > 0 }))
}

// releaseParts frees the reservations of parts.
func (l *Launcher) releaseParts(parts []cagang.OwnerReservation) {
	for _, part := range parts {
		l.releaseReservation(part.Owner, part.Reservation)
	}
}

// delaySpillRetry allows another negotiation for a job after spillRetryDelay.
func (l *Launcher) delaySpillRetry(id cawork.JobID) {
	delay := l.Timer.After(spillRetryDelay)
	go func() {
		defer delay.Close()
		select {
		case <-delay.C:
			l.post(func() { delete(l.spilling, id) })
		case <-l.done:
		}
	}()
}

func (l *Launcher) releaseReservation(owner cawork.VMID, id casched.ReservationID) {
	if owner == l.Self {
		l.Scheduler.ReleaseReservation(id, l.now())
		return
	}
	l.runInBackground(func(ctx context.Context) func() {
		// If the release is lost, the reservation expires.
		_ = l.Peers.ReleaseReservation(ctx, owner, ReleaseCall{ID: id})
		return func() {}
	})
}

// releaseRemoteReservations frees the reservations of attempts that will not be
// sent.
func (l *Launcher) releaseRemoteReservations(attempts []*attempt) {
	released := make(map[cawork.VMID]struct{})
	for _, a := range attempts {
		if _, done := released[a.remoteOwner]; done || a.remoteOwner == "" {
			continue
		}
		released[a.remoteOwner] = struct{}{}
		l.releaseReservation(a.remoteOwner, a.reservation)
	}
}

func (a *attempt) startRequest(view int64, ttl time.Duration) caplatform.Start {
	return caplatform.Start{
		Shard: a.shard, View: view, Attempt: a.id, Task: a.task, Team: a.team, Kind: a.kind,
		Size: a.size, TTL: ttl, Payload: a.payload,
	}
}

// sendRemoteStarts asks other owners to start attempts in the capacity that
// they reserved.
func (l *Launcher) sendRemoteStarts(id casched.ReservationID, group []*attempt) {
	view, leads := l.Shards.MayAct(group[0].shard)
	if !leads || l.draining {
		l.releaseRemoteReservations(group)
		for _, a := range group {
			l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateFenced}, true)
		}
		return
	}
	byOwner := make(map[cawork.VMID][]*attempt)
	for _, a := range group {
		byOwner[a.remoteOwner] = append(byOwner[a.remoteOwner], a)
	}
	for owner, attempts := range byOwner {
		call := StartReservedCall{ID: id}
		for _, a := range attempts {
			call.Starts = append(call.Starts, UpstreamStart{Upstream: a.upstream, Start: a.startRequest(view, l.TaskTTL)})
		}
		l.runInBackground(func(ctx context.Context) func() {
			reply, err := l.Peers.StartReserved(ctx, owner, call)
			return func() { l.remoteStartsAnswered(attempts, reply, err) }
		})
	}
}

func (l *Launcher) remoteStartsAnswered(attempts []*attempt, reply StartReservedReply, err error) {
	if err == nil && len(reply.Results) != len(attempts) {
		err = cakind.New(cakind.KindUnknown, "got %d results for %d starts", len(reply.Results), len(attempts))
	}
	for i, a := range attempts {
		switch {
		case err != nil:
			l.startAnswered(a, caplatform.TaskStatus{}, err)
		case reply.Results[i].Failed:
			l.startAnswered(a, caplatform.TaskStatus{}, cakind.New(reply.Results[i].Kind, "owner %s did not start the attempt", a.remoteOwner))
		default:
			l.startAnswered(a, reply.Results[i].Status, nil)
		}
	}
}
