package calaunch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/google/uuid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
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

// holding is the room that one owner keeps for a job.
type holding struct {
	owner     cawork.VMID
	upstreams []cawork.UpstreamID
}

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
		go l.seek(u, candidates)
	}
}

// seek reserves room for a job at one owner after the other in the order of
// their ids. All entries keep to that order, so that two gangs cannot wait for
// each other; what cannot be completed is released.
func (l *Launcher) seek(u casched.Unplaced, owners []Owner) {
	id := casched.ReservationID(uuid.NewString())
	if u.Kind == cawork.WorkKindGang {
		owners = append(owners, Owner{VM: l.Self})
	}
	slices.SortFunc(owners, func(a, b Owner) int { return cmp.Compare(a.VM, b.VM) })
	var held []holding
	left := len(u.Tasks)
	for _, o := range owners {
		if left == 0 {
			break
		}
		got, err := l.reserveAt(o.VM, id, u, left)
		if err != nil || len(got) == 0 {
			continue
		}
		held = append(held, holding{owner: o.VM, upstreams: got})
		left -= len(got)
	}
	l.post(func() { l.found(u, id, held) })
}

func (l *Launcher) reserveAt(owner cawork.VMID, id casched.ReservationID, u casched.Unplaced, count int) ([]cawork.UpstreamID, error) {
	ctx, cancel := context.WithTimeout(l.ctx, peerTimeout)
	defer cancel()
	call := ReserveCall{
		Request: casched.ReserveRequest{
			ID: id, Job: u.Job, Team: u.Team, Kind: u.Kind, Size: u.Size, RunTime: u.RunTime,
			Constraints: u.Constraints, Min: 1, Count: count,
		},
		TTL: reservationTTL,
	}
	var reply ReserveReply
	var err error
	if owner == l.Self {
		reply, err = l.HandleReserve(ctx, call)
	} else {
		reply, err = l.Peers.Reserve(ctx, owner, call)
	}
	return reply.Upstreams, err
}

// found places the tasks of a job in the room that owners keep for it.
func (l *Launcher) found(u casched.Unplaced, id casched.ReservationID, held []holding) {
	placements, owners := assign(u, held)
	complete := len(placements) == len(u.Tasks)
	if len(placements) == 0 || (u.Kind == cawork.WorkKindGang && !complete) {
		l.releaseAll(held, id)
		l.endSpill(u.Job)
		return
	}
	local := casched.ReservationID("")
	if slices.ContainsFunc(held, func(h holding) bool { return h.owner == l.Self }) {
		local = id
	}
	d, err := l.Scheduler.PlaceReserved(placements, local, l.now())
	if err != nil {
		l.releaseAll(held, id)
		l.endSpill(u.Job)
		return
	}
	delete(l.spilling, u.Job)
	l.logDecision(d)
	l.place(d, owners, id)
}

// assign gives each reserved upstream the next task of the job.
func assign(u casched.Unplaced, held []holding) ([]casched.Placement, []cawork.VMID) {
	var placements []casched.Placement
	var owners []cawork.VMID
	for _, h := range held {
		for _, upstream := range h.upstreams {
			task := u.Tasks[len(placements)]
			placements = append(placements, casched.Placement{Task: task, Upstream: upstream, Size: u.Size})
			owners = append(owners, h.owner)
		}
	}
	return placements, owners
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

func (l *Launcher) releaseAll(held []holding, id casched.ReservationID) {
	for _, h := range held {
		l.releaseAt(h.owner, id)
	}
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
