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
	// maxSpills bounds the jobs for which room is sought elsewhere at once.
	maxSpills = 8
	// reservationTTL is how long an owner keeps room for a start to follow.
	reservationTTL = 5 * time.Second
	// spillPause is the time between two searches for room for one job.
	spillPause = 500 * time.Millisecond
)

// spill seeks room at other owners for jobs that do not fit here.
func (l *Launcher) spill() {
	if len(l.spilling) >= maxSpills {
		return
	}
	unplaced := l.Scheduler.Unplaced(maxSpills, l.now())
	if len(unplaced) == 0 {
		return
	}
	owners := l.Directory.ZoneOwners()
	for _, u := range unplaced {
		if _, busy := l.spilling[u.Job]; busy || len(l.spilling) >= maxSpills {
			continue
		}
		candidates := slices.DeleteFunc(slices.Clone(owners), func(o Owner) bool { return !u.Size.Fits(o.LargestHole) })
		if len(candidates) == 0 {
			continue
		}
		l.spilling[u.Job] = struct{}{}
		l.calls.Go(func() { l.seek(u, candidates) })
	}
}

// seek asks owners for room for a job, the own entry among them when the job
// is a gang.
func (l *Launcher) seek(u casched.Unplaced, owners []Owner) {
	var ids []cawork.VMID
	for _, o := range owners {
		ids = append(ids, o.VM)
	}
	if u.Kind == cawork.WorkKindGang {
		ids = append(ids, l.Self)
	}
	talk := cagang.New(u, ids, uuid.NewString(), l.now().Add(reservationTTL))
	for ask, more := talk.Next(); more; ask, more = talk.Next() {
		reply, err := l.reserveAt(ask)
		if err != nil {
			talk.Refused()
			continue
		}
		talk.Granted(casched.Reservation{ID: ask.Request.ID, Upstreams: reply.Upstreams, Expires: ask.Request.Expires})
	}
	l.post(func() { l.found(u, talk) })
}

func (l *Launcher) reserveAt(ask cagang.Ask) (ReserveReply, error) {
	ctx, cancel := context.WithTimeout(l.ctx, peerTimeout)
	defer cancel()
	call := ReserveCall{Request: ask.Request, TTL: reservationTTL}
	if ask.Owner == l.Self {
		return l.HandleReserve(ctx, call)
	}
	return l.Peers.Reserve(ctx, ask.Owner, call)
}

// found places the tasks of a job in the room that owners keep for it.
func (l *Launcher) found(u casched.Unplaced, talk *cagang.Negotiation) {
	parts := talk.Parts()
	local := casched.ReservationID("")
	for _, part := range parts {
		if part.Owner == l.Self && len(part.Placements) > 0 {
			local = part.Reservation
		}
	}
	if !talk.Complete(l.now()) {
		l.release(parts)
		l.endSpill(u.Job)
		return
	}
	d, err := l.Scheduler.PlaceReserved(talk.Placements(), local, l.now())
	if err != nil {
		l.release(parts)
		l.endSpill(u.Job)
		return
	}
	delete(l.spilling, u.Job)
	l.logDecision(d)
	l.place(d, parts)
	l.release(slices.DeleteFunc(parts, func(part cagang.Part) bool { return len(part.Placements) > 0 }))
}

// release frees the room of parts that are not used.
func (l *Launcher) release(parts []cagang.Part) {
	for _, part := range parts {
		l.releaseAt(part.Owner, part.Reservation)
	}
}

// endSpill lets the search for a job start again after a pause.
func (l *Launcher) endSpill(id cawork.JobID) {
	pause := l.Timer.After(spillPause)
	go func() {
		defer pause.Close()
		select {
		case <-pause.C:
			l.post(func() { delete(l.spilling, id) })
		case <-l.done:
		}
	}()
}

func (l *Launcher) releaseAt(owner cawork.VMID, id casched.ReservationID) {
	if owner == l.Self {
		l.Scheduler.ReleaseReservation(id, l.now())
		return
	}
	l.background(func(ctx context.Context) func() {
		// A lost release is made up for by the expiry of the reservation.
		_ = l.Peers.ReleaseReservation(ctx, owner, ReleaseCall{ID: id})
		return func() {}
	})
}

// releaseRemote frees the room kept for attempts that will not be sent.
func (l *Launcher) releaseRemote(attempts []*attempt) {
	released := make(map[cawork.VMID]struct{})
	for _, a := range attempts {
		if _, done := released[a.remote]; done || a.remote == "" {
			continue
		}
		released[a.remote] = struct{}{}
		l.releaseAt(a.remote, a.reservation)
	}
}

func (a *attempt) start(view int64, ttl time.Duration) caplatform.Start {
	return caplatform.Start{
		Shard: a.shard, View: view, Attempt: a.id, Task: a.task, Team: a.team, Kind: a.kind,
		Size: a.size, TTL: ttl, Payload: a.payload,
	}
}

// sendRemote asks other owners to start attempts in the room they keep.
func (l *Launcher) sendRemote(id casched.ReservationID, group []*attempt) {
	view, leads := l.Shards.MayAct(group[0].shard)
	if !leads || l.draining {
		l.releaseRemote(group)
		for _, a := range group {
			l.settle(a, caplatform.TaskStatus{State: cawork.TaskStateFenced}, true)
		}
		return
	}
	byOwner := make(map[cawork.VMID][]*attempt)
	for _, a := range group {
		byOwner[a.remote] = append(byOwner[a.remote], a)
	}
	for owner, attempts := range byOwner {
		call := StartReservedCall{ID: id}
		for _, a := range attempts {
			call.Starts = append(call.Starts, UpstreamStart{Upstream: a.upstream, Start: a.start(view, l.TaskTTL)})
		}
		l.background(func(ctx context.Context) func() {
			reply, err := l.Peers.StartReserved(ctx, owner, call)
			return func() { l.sentRemote(attempts, reply, err) }
		})
	}
}

func (l *Launcher) sentRemote(attempts []*attempt, reply StartReservedReply, err error) {
	if err == nil && len(reply.Results) != len(attempts) {
		err = cakind.New(cakind.KindUnknown, "%d results for %d starts", len(reply.Results), len(attempts))
	}
	for i, a := range attempts {
		switch {
		case err != nil:
			l.sent(a, caplatform.TaskStatus{}, err)
		case reply.Results[i].Failed:
			l.sent(a, caplatform.TaskStatus{}, cakind.New(reply.Results[i].Kind, "owner %s did not start the attempt", a.remote))
		default:
			l.sent(a, reply.Results[i].Status, nil)
		}
	}
}
