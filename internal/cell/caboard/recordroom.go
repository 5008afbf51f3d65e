package caboard

import (
	"math"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

const (
	// minUpstreamIDBytes is the length of the id of an upstream that record sizes allow for at least.
	minUpstreamIDBytes = 8
	// maxRefusedShare is the share of the size of a refused record that later ones of its job may have,
	// where the bound of the store is not known, unless a larger one was stored.
	maxRefusedShare = 7.0 / 8
	// pauseAfterHold is how long a job gets no new runs after its record could not be stored.
	pauseAfterHold = time.Second
)

// recordState is what is known about the sizes of the records of jobs.
type recordState struct {
	// bytes bounds the id and the record of a job. Zero means no bound.
	bytes int
	// held are the stored jobs whose newest records cannot be stored, and heldEnds the ends at
	// upstreams that must not be acknowledged because of that.
	held     map[cawork.JobID]*job
	heldEnds map[*upstream]endWatermark
}

func newRecordState() recordState {
	return recordState{held: make(map[cawork.JobID]*job), heldEnds: make(map[*upstream]endWatermark)}
}

// jobRecord is what is known about the size of the record of one job.
type jobRecord struct {
	// size holds the largest size of the record without open occurrences and of one occurrence, zero
	// before they are needed.
	size castate.RecordSize
	// bound bounds the record where the store has refused an earlier one. Zero means no bound.
	bound int
	// storedBytes is the size of the last stored record, zero if this leader stored none.
	storedBytes int
	// laterOccurrence is the number of the first occurrence whose tasks must not be assigned yet,
	// since the record has no room for their runs.
	laterOccurrence int
	// pausedUntil is when the job may get new runs again after it was held.
	pausedUntil time.Time
	// unstoredEnds are the upstreams that reported ends of runs since the last record.
	unstoredEnds map[*upstream]bool
}

// SetRecordBytes sets how many bytes the record of a job may have, with its id. Zero means no
// bound.
func (b *Planner) SetRecordBytes(bytes int) { b.records.bytes = max(bytes, 0) }

// HeldJobs returns the number of jobs whose newest records cannot be stored.
func (b *Planner) HeldJobs() int { return len(b.records.held) }

// recordLimit returns how large the record of a job may be, zero without a bound.
func (b *Planner) recordLimit(j *job) int {
	limit := b.records.limitOf(j.Submission.ID)
	if limit == 0 || j.record.bound > 0 && j.record.bound < limit {
		return j.record.bound
	}
	return limit
}

func (s *recordState) limitOf(id cawork.JobID) int {
	if s.bytes == 0 {
		return 0
	}
	return max(s.bytes-len(id), 1)
}

// recordSize returns how large the record of a job can become.
func (b *Planner) recordSize(j *castate.Job) (castate.RecordSize, error) {
	longest := minUpstreamIDBytes
	for _, u := range b.sortedUpstreams {
		longest = max(longest, len(u.info.ID))
	}
	return j.MaxRecordSize(longest)
}

// sizeOf returns how large the record of a job can become. It reports false if that cannot be
// determined.
func (b *Planner) sizeOf(j *job) (castate.RecordSize, bool) {
	if j.record.size.Occurrence == 0 {
		size, err := b.recordSize(j.Job)
		if err != nil {
			return size, false
		}
		j.record.size = size
	}
	return j.record.size, true
}

// checkRecord refuses a job whose record cannot be stored once all tasks of one occurrence have run.
func (b *Planner) checkRecord(s caspec.Submission) error {
	limit := b.records.limitOf(s.ID)
	if limit == 0 {
		return nil
	}
	size, err := b.recordSize(castate.NewJob(s, b.now.WallMS))
	if err != nil {
		return err
	}
	if need := size.With(1); need > limit {
		return cakind.New(cakind.KindTooLarge, "the record of the job needs up to %d bytes, the store takes %d", need, limit)
	}
	return nil
}

// hasRecordRoom reports whether the record of a job has room for one more open occurrence. There is
// always room for the first one.
func (b *Planner) hasRecordRoom(j *job) bool {
	limit := b.recordLimit(j)
	if limit == 0 || len(j.OpenOccurrences) == 0 {
		return true
	}
	size, ok := b.sizeOf(j)
	return ok && size.With(len(j.OpenOccurrences)+1) <= limit
}

// updateRecordRoom determines which open occurrences may get runs: the oldest ones that fit into the
// record once all of their tasks have run, and at least one. Only a job that an earlier build opened, or
// whose bound was not known, has others.
func (b *Planner) updateRecordRoom(j *job) {
	j.record.laterOccurrence = math.MaxInt
	limit := b.recordLimit(j)
	if limit == 0 || len(j.OpenOccurrences) <= 1 {
		return
	}
	size, ok := b.sizeOf(j)
	if !ok || size.With(len(j.OpenOccurrences)) <= limit {
		return
	}
	total := size.With(0)
	present := make([]int, len(j.OpenOccurrences))
	for i, o := range j.OpenOccurrences {
		present[i] = o.CompactSize()
		total += present[i]
	}
	for i, o := range j.OpenOccurrences {
		total += max(size.Occurrence-present[i], 0)
		if total > limit && i > 0 {
			j.record.laterOccurrence = o.Number
			return
		}
	}
}

// mayStartTasks reports whether the record of its job has room for new runs of a step.
func (b *Planner) mayStartTasks(s *step) bool {
	r := &s.job.record
	if s.occurrence.Number >= r.laterOccurrence || b.now.Monotonic.Before(r.pausedUntil) {
		return false
	}
	_, held := b.records.held[s.job.Submission.ID]
	return !held
}

// encodeRecord returns the record of a job, and whether it can be stored. It leaves out details
// that the next leader can do without where the whole record is too large. The end of a job can
// always be stored: its record needs no details.
func (b *Planner) encodeRecord(j *job) (value []byte, fits bool, err error) {
	limit := b.recordLimit(j)
	value, err = j.WithoutDoneRuns().Encode()
	if err != nil || limit == 0 || len(value) <= limit {
		return value, err == nil, err
	}
	value, err = j.Compact().Encode()
	if err != nil || len(value) <= limit || !j.Phase.IsFinal() {
		return value, err == nil && len(value) <= limit, err
	}
	ended := *j.Job
	ended.ClearDetails()
	value, err = ended.Encode()
	return value, err == nil && len(value) <= limit, err
}

// MarkRefused holds back the jobs whose records in the batch the store refuses, however often
// it gets them. It returns what remains of the batch, which is stored.
func (b *Planner) MarkRefused(batch Batch, refused []cawork.JobID) Batch {
	for _, id := range refused {
		at := slices.IndexFunc(batch.Records, func(r Record) bool { return r.Job == id })
		j, ok := b.jobs[id]
		if at < 0 || !ok {
			continue
		}
		size := len(batch.Records[at].Value)
		j.record.bound = max(1, min(size-1, max(j.record.storedBytes, int(maxRefusedShare*float64(size)))))
		b.hold(&batch, j, size)
		if j.Phase.IsFinal() {
			b.markChanged(j)
		}
	}
	b.holdEnds(&batch)
	return batch
}

// hold holds a job whose record of the given size cannot be stored: it takes the record out of the batch
// with the starts in it, and the job gets no runs and no occurrences. A job that was never stored is
// dropped.
func (b *Planner) hold(batch *Batch, j *job, size int) {
	id := j.Submission.ID
	batch.Records = slices.DeleteFunc(batch.Records, func(r Record) bool { return r.Job == id })
	revoked := b.revokeStarts(batch, j)
	for u := range batch.jobEnds[id] {
		j.noteEnd(u)
	}
	delete(batch.jobEnds, id)
	if _, before := b.records.held[id]; !before || revoked > 0 {
		batch.Held++
		b.logHeld(j, size, revoked)
	}
	if !j.stored {
		b.dropUnstored(j)
		batch.Dropped = append(batch.Dropped, id)
		return
	}
	b.records.held[id] = j
	j.record.pausedUntil = b.now.Monotonic.Add(pauseAfterHold)
	b.closeUntouched(j)
	b.updateRecordRoom(j)
}

func (b *Planner) logHeld(j *job, size, revoked int) {
	caevent.Warn(b.log, caevent.RecordHeld).Str("job", string(j.Submission.ID)).Str("team", string(j.Submission.Team)).Str("phase", j.Phase.String()).
		Bool("stored", j.stored).Int("bytes", size).Int("bound", b.recordLimit(j)).Int("open", len(j.OpenOccurrences)).Int("revoked", revoked).Send()
}

// dropUnstored drops a job whose first record cannot be stored.
func (b *Planner) dropUnstored(j *job) {
	id := j.Submission.ID
	b.dropSteps(j)
	delete(b.changed, id)
	delete(b.jobs, id)
}

// revokeStarts takes the starts of a job out of the batch, as if they had never been assigned.
func (b *Planner) revokeStarts(batch *Batch, j *job) int {
	revoked := 0
	kept := make([]*run, 0, len(batch.starts))
	for _, r := range batch.starts {
		if r.step.job != j {
			kept = append(kept, r)
			continue
		}
		if r.upstream.runs[r.id] != r {
			continue
		}
		current := r.isCurrent()
		b.dropRun(r)
		revoked++
		if t := r.task(); current {
			t.Upstream, t.Born = "", 0
			if t.Run == 1 {
				t.Run = 0
			}
		}
	}
	batch.starts = kept
	return revoked
}

// closeUntouched closes the newest occurrences of a job while its record may outgrow its bound, as far
// as none of their tasks has run. They are opened again when there is room.
func (b *Planner) closeUntouched(j *job) {
	size, ok := b.sizeOf(j)
	limit := b.recordLimit(j)
	if !ok || limit == 0 || j.Phase.IsFinal() {
		return
	}
	for len(j.OpenOccurrences) > 1 && size.With(len(j.OpenOccurrences)) > limit {
		o := j.OpenOccurrences[len(j.OpenOccurrences)-1]
		if !j.CloseUntouched(o) {
			return
		}
		b.removeSteps(j, o)
		b.markChanged(j)
	}
}

// removeSteps removes the steps of an occurrence that is closed again.
func (b *Planner) removeSteps(j *job, o *castate.Occurrence) {
	isOf := func(s *step) bool { return s.occurrence == o }
	for _, s := range j.steps {
		if isOf(s) {
			s.waitingTasks = 0
		}
	}
	j.steps = slices.DeleteFunc(j.steps, isOf)
	b.steps = slices.DeleteFunc(b.steps, isOf)
}

// releaseRecord ends the hold of a job whose record is stored.
func (b *Planner) releaseRecord(j *job) {
	id := j.Submission.ID
	if _, held := b.records.held[id]; !held {
		return
	}
	delete(b.records.held, id)
	caevent.Info(b.log, caevent.RecordReleased).Str("job", string(id)).Str("team", string(j.Submission.Team)).
		Str("phase", j.Phase.String()).Int("bytes", j.record.storedBytes).Send()
}

// noteEnd records that an upstream has reported the end of a run of the job.
func (j *job) noteEnd(u *upstream) {
	if j.record.unstoredEnds == nil {
		j.record.unstoredEnds = make(map[*upstream]bool)
	}
	j.record.unstoredEnds[u] = true
}

// takeEnds returns the ends to store, with those that were held before.
func (b *Planner) takeEnds() map[*upstream]endWatermark {
	ends := b.endsToStore
	for u, end := range b.records.heldEnds {
		if later, ok := ends[u]; (!ok || later.born == end.born && later.number < end.number) && end.born == u.info.Incarnation {
			ends[u] = end
		}
	}
	b.endsToStore = make(map[*upstream]endWatermark)
	clear(b.records.heldEnds)
	return ends
}

// holdEnds takes the ends out of the batch that must not be acknowledged, since those of held jobs
// among them are not stored. An upstream lists an end until all up to it are acknowledged.
func (b *Planner) holdEnds(batch *Batch) {
	for _, j := range b.records.held {
		for u := range j.record.unstoredEnds {
			if end, ok := batch.ends[u]; ok {
				b.records.heldEnds[u] = end
				delete(batch.ends, u)
			}
		}
	}
}
