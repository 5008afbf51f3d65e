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

// keyRetryAfter is the time after which a client should retry if a key cannot
// be checked now.
const keyRetryAfter = 2 * time.Second

// keyedSubmission identifies a submission by its idempotency key.
type keyedSubmission struct {
	team cawork.TeamName
	key  string
}

// Submit accepts a job. A submission with an idempotency key is handled by the
// entry of the zone that coordinates the key, so that a repeated submission
// finds the first one.
func (l *Launcher) Submit(ctx context.Context, team cawork.TeamName, spec cawork.JobSpec, key string) (cawork.JobID, error) {
	call := SubmitCall{Team: team, Spec: spec, Key: key}
	if z := spec.Constraints.Zone; z != "" && z != l.Zone {
		return l.submitToZone(ctx, z, call)
	}
	id, err := l.submitInZone(ctx, call)
	if err == nil || cakind.Of(err) != cakind.KindNeverFits {
		return id, err
	}
	// No upstream of the local zone is large enough for the job.
	for _, z := range l.otherZones() {
		if id, zoneErr := l.submitToZone(ctx, z, call); cakind.Of(zoneErr) != cakind.KindNeverFits || zoneErr == nil {
			return id, zoneErr
		}
	}
	return "", err
}

// submitToZone forwards a submission to an entry of another zone.
func (l *Launcher) submitToZone(ctx context.Context, z cawork.ZoneName, call SubmitCall) (cawork.JobID, error) {
	entries := l.Directory.ZoneEntries(z)
	vm, ok := carendezvous.First(string(call.Team)+"/"+call.Key, entries)
	if !ok {
		return "", cakind.New(cakind.KindUnavailable, "no entry of zone %s is reachable", z).WithRetryAfter(keyRetryAfter)
	}
	reply, err := l.Peers.SubmitJob(ctx, vm, call)
	return reply.Job, err
}

func (l *Launcher) otherZones() []cawork.ZoneName {
	var zones []cawork.ZoneName
	for _, o := range l.Directory.OtherZoneOwners() {
		zones = append(zones, o.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (l *Launcher) submitInZone(ctx context.Context, call SubmitCall) (cawork.JobID, error) {
	team, key := call.Team, call.Key
	coordinator := l.keyCoordinator(team, key)
	if key == "" || coordinator == l.Self {
		reply, err := l.HandleSubmit(ctx, call)
		return reply.Job, err
	}
	reply, err := l.Peers.SubmitJob(ctx, coordinator, call)
	return reply.Job, err
}

// keyCoordinator returns the entry of the zone that coordinates an idempotency
// key.
func (l *Launcher) keyCoordinator(team cawork.TeamName, key string) cawork.VMID {
	entries := []cawork.VMID{l.Self}
	for _, o := range l.Directory.ZoneOwners() {
		entries = append(entries, o.VM)
	}
	coordinator, _ := carendezvous.First(string(team)+"/"+key, entries)
	return coordinator
}

// HandleSubmit accepts a job into the shard of this entry.
func (l *Launcher) HandleSubmit(ctx context.Context, call SubmitCall) (SubmitReply, error) {
	if call.Key == "" {
		return l.acceptJob(ctx, call)
	}
	found, err := l.claimKey(ctx, call)
	if err != nil {
		return SubmitReply{}, err
	}
	if found.Found {
		return found.duplicateReply(call)
	}
	submission := keyedSubmission{team: call.Team, key: call.Key}
	defer l.post(func() { delete(l.pendingSubmissions, submission) })
	other, err := l.findKeyAtPeers(ctx, call)
	if err != nil {
		return SubmitReply{}, err
	}
	if other.Found {
		return other.duplicateReply(call)
	}
	return l.acceptJob(ctx, call)
}

// claimKey marks a submission with the key as in progress here, unless the key
// is already known.
func (l *Launcher) claimKey(ctx context.Context, call SubmitCall) (FindKeyReply, error) {
	var reply FindKeyReply
	ok := l.runOnLoop(ctx, func() {
		reply = l.findKey(call.Team, call.Key)
		if !reply.Found && !reply.Pending {
			l.pendingSubmissions[keyedSubmission{team: call.Team, key: call.Key}] = struct{}{}
		}
	})
	switch {
	case !ok:
		// The mark may still be set; the queued event removes it
		// afterwards.
		l.post(func() { delete(l.pendingSubmissions, keyedSubmission{team: call.Team, key: call.Key}) })
		return FindKeyReply{}, cakind.New(cakind.KindUnavailable, "cannot check the idempotency key in time").WithRetryAfter(keyRetryAfter)
	case reply.Pending:
		return reply, cakind.New(cakind.KindUnavailable, "a submission with this idempotency key is in progress").WithRetryAfter(keyRetryAfter)
	default:
		return reply, nil
	}
}

// findKeyAtPeers asks the other entries of the zone for the key. If one does
// not answer, the submission is refused, since that entry may have accepted the
// key.
func (l *Launcher) findKeyAtPeers(ctx context.Context, call SubmitCall) (FindKeyReply, error) {
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
			return FindKeyReply{}, cakind.New(cakind.KindUnavailable, "cannot check the idempotency key at entry %s", owners[i].VM).
				WithRetryAfter(keyRetryAfter)
		}
	}
	return FindKeyReply{}, nil
}

// HandleFindKey reports to another entry of the zone whether a key is known
// here.
func (l *Launcher) HandleFindKey(ctx context.Context, call FindKeyCall) (FindKeyReply, error) {
	var reply FindKeyReply
	if !l.runOnLoop(ctx, func() { reply = l.findKey(call.Team, call.Key) }) {
		return FindKeyReply{}, cakind.New(cakind.KindUnavailable, "entry %s has ended or did not answer in time", l.Self)
	}
	return reply, nil
}

func (l *Launcher) findKey(team cawork.TeamName, key string) FindKeyReply {
	var reply FindKeyReply
	for id := range l.led {
		l.readState(id, func(s *cajob.State) {
			if j, ok := s.JobByKey(team, key); ok {
				reply = FindKeyReply{Job: j.Job.ID, Digest: j.Digest, Found: true}
			}
		})
	}
	_, reply.Pending = l.pendingSubmissions[keyedSubmission{team: team, key: key}]
	return reply
}

// acceptJob queues a job and records it. It returns once the record is
// replicated.
func (l *Launcher) acceptJob(ctx context.Context, call SubmitCall) (SubmitReply, error) {
	job, err := await(ctx, l, "the job may have been accepted", func(answer func(cawork.JobID, error)) {
		l.queueAndRecord(call, answer)
	})
	return SubmitReply{Job: job}, err
}

func (l *Launcher) queueAndRecord(call SubmitCall, answer func(cawork.JobID, error)) {
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
		l.logRejected(job, err)
		answer("", err)
		return
	}
	accepted := cajob.JobAccepted{Job: job, Key: call.Key, Digest: digest}
	record := cajob.Record{Type: cajob.RecordJobAccepted, JobAccepted: &accepted}
	err = l.propose(l.Shard, record, func(err error) {
		if err != nil {
			l.withdrawJob(job, err)
			answer("", err)
			return
		}
		caevent.Info(l.Logger, caevent.JobAccepted).Str("job", string(job.ID)).Str("team", string(job.Team)).
			Str("kind", job.Spec.Kind.String()).Int("tasks", job.Spec.Tasks).Send()
		answer(job.ID, nil)
	})
	if err != nil {
		l.withdrawJob(job, err)
		answer("", err)
	}
}

func (l *Launcher) newJob(call SubmitCall) cawork.Job {
	l.jobSerial++
	// The random part makes job ids hard to guess.
	number := strconv.FormatInt(l.jobSerial, 36) + "x" + strconv.FormatUint(uint64(rand.Uint32()), 36)
	spec := call.Spec
	limit := l.policy.Kind(spec.Kind).MaxAttempts
	if spec.MaxAttempts == 0 || spec.MaxAttempts > limit {
		spec.MaxAttempts = limit
	}
	return cawork.Job{
		ID:       cawork.JobID(string(l.Shard) + jobSeparator + number),
		Team:     call.Team,
		Spec:     spec,
		Accepted: l.now(),
	}
}

// withdrawJob removes a job that could not be recorded.
func (l *Launcher) withdrawJob(job cawork.Job, err error) {
	l.logRejected(job, err)
	// The scheduler may have ended the job already.
	_, _ = l.Scheduler.Cancel(job.ID, l.now())
}

func (l *Launcher) logRejected(job cawork.Job, err error) {
	caevent.Info(l.Logger, caevent.JobRefused).Str("team", string(job.Team)).Str("kind", job.Spec.Kind.String()).
		Str("error_kind", cakind.Of(err).String()).AnErr("error", err).Send()
}
