package calaunch

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/cajob"
	"celeryarch.example/celeryarch/internal/coord/carendezvous"
)

// keyRetryAfter is the time to wait when a key cannot be checked now.
const keyRetryAfter = 2 * time.Second

// keyedSubmission names a submission by its idempotency key.
type keyedSubmission struct {
	team cawork.TeamName
	key  string
}

// Submit accepts a job. One with an idempotency key is accepted by the entry
// of the zone that keeps the key, so that a second submission finds the first.
func (l *Launcher) Submit(ctx context.Context, team cawork.TeamName, spec cawork.JobSpec, key string) (cawork.JobID, error) {
	call := SubmitCall{Team: team, Spec: spec, Key: key}
	if z := spec.Constraints.Zone; z != "" && z != l.Zone {
		return l.submitTo(ctx, z, call)
	}
	id, err := l.submitHere(ctx, call)
	if err == nil || cakind.Of(err) != cakind.KindNeverFits {
		return id, err
	}
	// The own zone has no upstream that could ever hold the work.
	for _, z := range l.otherZones() {
		if id, elsewhere := l.submitTo(ctx, z, call); cakind.Of(elsewhere) != cakind.KindNeverFits || elsewhere == nil {
			return id, elsewhere
		}
	}
	return "", err
}

// submitTo hands a submission to an entry of another zone.
func (l *Launcher) submitTo(ctx context.Context, z cawork.ZoneName, call SubmitCall) (cawork.JobID, error) {
	entries := l.Directory.ZoneEntries(z)
	vm, ok := carendezvous.First(string(call.Team)+"/"+call.Key, entries)
	if !ok {
		return "", cakind.New(cakind.KindUnavailable, "no entry of zone %s is reached", z).WithRetryAfter(keyRetryAfter)
	}
	reply, err := l.Peers.SubmitJob(ctx, vm, call)
	return reply.Job, err
}

func (l *Launcher) otherZones() []cawork.ZoneName {
	var zones []cawork.ZoneName
	for _, o := range l.Directory.FarOwners() {
		zones = append(zones, o.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (l *Launcher) submitHere(ctx context.Context, call SubmitCall) (cawork.JobID, error) {
	team, key := call.Team, call.Key
	keeper := l.keeper(team, key)
	if key == "" || keeper == l.Self {
		reply, err := l.HandleSubmit(ctx, call)
		return reply.Job, err
	}
	reply, err := l.Peers.SubmitJob(ctx, keeper, call)
	return reply.Job, err
}

// keeper returns the entry of the zone that keeps an idempotency key.
func (l *Launcher) keeper(team cawork.TeamName, key string) cawork.VMID {
	entries := []cawork.VMID{l.Self}
	for _, o := range l.Directory.ZoneOwners() {
		entries = append(entries, o.VM)
	}
	keeper, _ := carendezvous.First(string(team)+"/"+key, entries)
	return keeper
}

// HandleSubmit accepts a job into the own shard.
func (l *Launcher) HandleSubmit(ctx context.Context, call SubmitCall) (SubmitReply, error) {
	if call.Key == "" {
		return l.accept(ctx, call)
	}
	found, err := l.claimKey(ctx, call)
	if err != nil {
		return SubmitReply{}, err
	}
	if found.Found {
		return found.sameJob(call)
	}
	submission := keyedSubmission{team: call.Team, key: call.Key}
	defer l.post(func() { delete(l.pending, submission) })
	other, err := l.findElsewhere(ctx, call)
	if err != nil {
		return SubmitReply{}, err
	}
	if other.Found {
		return other.sameJob(call)
	}
	return l.accept(ctx, call)
}

// claimKey marks the key as under way here, unless it is known already.
func (l *Launcher) claimKey(ctx context.Context, call SubmitCall) (FindKeyReply, error) {
	var reply FindKeyReply
	ok := l.ask(ctx, func() {
		reply = l.findKey(call.Team, call.Key)
		if !reply.Found && !reply.Pending {
			l.pending[keyedSubmission{team: call.Team, key: call.Key}] = struct{}{}
		}
	})
	switch {
	case !ok:
		// The mark may yet be set; it is taken back after that.
		l.post(func() { delete(l.pending, keyedSubmission{team: call.Team, key: call.Key}) })
		return FindKeyReply{}, cakind.New(cakind.KindUnavailable, "the key cannot be checked in time").WithRetryAfter(keyRetryAfter)
	case reply.Pending:
		return reply, cakind.New(cakind.KindUnavailable, "a submission with this key is under way").WithRetryAfter(keyRetryAfter)
	default:
		return reply, nil
	}
}

// findElsewhere asks the other entries of the zone for the key. An entry that
// does not answer may hold it, so that the submission is refused.
func (l *Launcher) findElsewhere(ctx context.Context, call SubmitCall) (FindKeyReply, error) {
	owners := l.Directory.ZoneOwners()
	replies := make([]FindKeyReply, len(owners))
	errs := make([]error, len(owners))
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for i, o := range owners {
		calls.Go(func() {
			replies[i], errs[i] = l.Peers.FindKey(ctx, o.VM, FindKeyCall{Team: call.Team, Key: call.Key})
		})
	}
	calls.Wait()
	for i, reply := range replies {
		switch {
		case reply.Found:
			return reply, nil
		case errs[i] != nil || reply.Pending:
			return FindKeyReply{}, cakind.New(cakind.KindUnavailable, "the key cannot be checked at entry %s", owners[i].VM).
				WithRetryAfter(keyRetryAfter)
		}
	}
	return FindKeyReply{}, nil
}

// HandleFindKey tells another entry of the zone whether a key is known here.
func (l *Launcher) HandleFindKey(ctx context.Context, call FindKeyCall) (FindKeyReply, error) {
	var reply FindKeyReply
	if !l.ask(ctx, func() { reply = l.findKey(call.Team, call.Key) }) {
		return FindKeyReply{}, cakind.New(cakind.KindUnavailable, "entry %s has ended", l.Self)
	}
	return reply, nil
}

func (l *Launcher) findKey(team cawork.TeamName, key string) FindKeyReply {
	var reply FindKeyReply
	for id := range l.led {
		l.readState(id, func(s *cajob.State) {
			if j, ok := s.JobOfKey(team, key); ok {
				reply = FindKeyReply{Job: j.Job.ID, Digest: j.Digest, Found: true}
			}
		})
	}
	_, reply.Pending = l.pending[keyedSubmission{team: team, key: key}]
	return reply
}

// accept queues a job and records it. The answer waits for the backup.
func (l *Launcher) accept(ctx context.Context, call SubmitCall) (SubmitReply, error) {
	job, err := await(ctx, l, "the job may have been accepted", func(answer func(cawork.JobID, error)) {
		l.submit(call, answer)
	})
	return SubmitReply{Job: job}, err
}

func (l *Launcher) submit(call SubmitCall, answer func(cawork.JobID, error)) {
	if l.draining {
		answer("", cakind.New(cakind.KindDraining, "entry %s is draining", l.Self).WithRetryAfter(time.Second))
		return
	}
	digest, err := specDigest(call.Spec)
	if err != nil {
		answer("", err)
		return
	}
	job := l.newJob(call)
	if err := l.Scheduler.Submit(job, l.now()); err != nil {
		l.refused(job, err)
		answer("", err)
		return
	}
	accepted := cajob.JobAccepted{Job: job, Key: call.Key, Digest: digest}
	record := cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &accepted}
	err = l.propose(l.Shard, record, func(err error) {
		if err != nil {
			l.withdraw(job, err)
			answer("", err)
			return
		}
		caevent.Info(l.Logger, caevent.JobAccepted).Str("job", string(job.ID)).Str("team", string(job.Team)).
			Str("kind", job.Spec.Kind.String()).Int("tasks", job.Spec.Tasks).Send()
		answer(job.ID, nil)
	})
	if err != nil {
		l.withdraw(job, err)
		answer("", err)
	}
}

func (l *Launcher) newJob(call SubmitCall) cawork.Job {
	l.serial++
	// The random part keeps others from guessing the ids of jobs.
	number := strconv.FormatInt(l.serial, 36) + "x" + strconv.FormatUint(uint64(rand.Uint32()), 36)
	spec := call.Spec
	bound := l.policy.Kind(spec.Kind).MaxAttempts
	if spec.MaxAttempts == 0 || spec.MaxAttempts > bound {
		spec.MaxAttempts = bound
	}
	return cawork.Job{
		ID:       cawork.JobID(string(l.Shard) + jobSeparator + number),
		Team:     call.Team,
		Spec:     spec,
		Accepted: l.now(),
	}
}

// withdraw takes back a job that was not accepted.
func (l *Launcher) withdraw(job cawork.Job, err error) {
	l.refused(job, err)
	// The scheduler may have ended the job by itself.
	_, _ = l.Scheduler.Cancel(job.ID, l.now())
}

func (l *Launcher) refused(job cawork.Job, err error) {
	caevent.Info(l.Logger, caevent.JobRefused).Str("team", string(job.Team)).Str("kind", job.Spec.Kind.String()).
		Str("error_kind", cakind.Of(err).String()).AnErr("error", err).Send()
}
