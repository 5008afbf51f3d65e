package caboard

import (
	"cmp"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// Plan assigns waiting tasks to upstreams, and returns the orders that are due
// at once. Assignments are part of the next batch.
func (b *Board) Plan() Orders {
	b.noteSight()
	b.pruneSteps()
	b.orderSteps()
	b.pools = b.openPools()
	b.layAreas()
	if !b.storeAway {
		b.copyLate()
		b.placeSteps()
	}
	return Orders{Stops: b.stops(), Asks: b.asks(), Looks: b.takeLooks()}
}

// placeSteps assigns what has room, in the order of the steps.
func (b *Board) placeSteps() {
	for _, s := range b.steps {
		if s.waiting == 0 || !s.ready {
			continue
		}
		q, ok := b.queueOf(s.job)
		if !ok {
			continue
		}
		p := b.pools[q.Pool]
		if p == nil {
			continue
		}
		if !s.spec.Gang {
			b.placeTasks(s, q, p)
			continue
		}
		if b.placeGang(s, q, p) {
			b.dropHold(s)
			continue
		}
		b.holdRoom(s, q, p)
	}
}

// openPool is what accepts new work of a pool during one plan.
type openPool struct {
	upstreams []*upstream
	// most bounds the room of each upstream, dimension by dimension.
	most cawork.Resources
	// free is the room of all.
	free cawork.Resources
	// capacity is that of all, and held the part that is kept for gangs.
	capacity cawork.MilliCPU
	held     float64
	// largest bounds the capacity of each upstream, dimension by dimension.
	largest cawork.Resources
	// asked is what runs and waits, in thousandths of a core, and askedWide the part
	// of wide gangs, of which so many tasks wait.
	asked, askedWide float64
	waitingWide      int
	// spill is how many places of the gang area other work may take.
	spill int
	// contended is set when a gang in time finds too much room held already.
	contended bool
}

func (b *Board) openPools() map[caspec.PoolName]*openPool {
	pools := make(map[caspec.PoolName]*openPool)
	for _, u := range b.inOrder {
		if r := u.reservedBy; r != nil && (r.hold == nil || r.waiting == 0 || r.job.Phase.IsFinal()) {
			u.reservedBy = nil
		}
		u.open = u.accepts(b.now.Steady)
		if !u.open {
			continue
		}
		p, ok := pools[u.info.Pool]
		if !ok {
			p = &openPool{}
			pools[u.info.Pool] = p
		}
		p.upstreams = append(p.upstreams, u)
		p.capacity += u.info.Capacity.CPU
		p.asked += float64(u.used.CPU)
		p.askedWide += float64(u.usedWide)
		p.largest = p.largest.Most(u.info.Capacity)
		if u.reservedBy != nil {
			p.held += float64(u.info.Capacity.CPU)
		}
	}
	for _, p := range pools {
		p.measure()
	}
	return pools
}

// measure takes the room of the pool anew.
func (p *openPool) measure() {
	p.most, p.free = cawork.Resources{}, cawork.Resources{}
	for _, u := range p.upstreams {
		free := u.free().Floor()
		p.free = p.free.Plus(free)
		p.most = p.most.Most(free)
	}
}

// pruneSteps drops steps that have ended.
func (b *Board) pruneSteps() {
	kept := b.steps[:0]
	for _, s := range b.steps {
		if s.job.Phase.IsFinal() || s.waiting == 0 && s.state().IsDone() {
			continue
		}
		kept = append(kept, s)
	}
	clear(b.steps[len(kept):])
	b.steps = kept
}

// orderSteps puts first what is to be placed first.
func (b *Board) orderSteps() {
	for _, s := range b.steps {
		s.lateness = b.lateness(s)
	}
	slices.SortStableFunc(b.steps, func(x, y *step) int {
		return cmp.Or(
			cmp.Compare(x.lateness, y.lateness),
			cmp.Compare(x.job.priority, y.job.priority),
			compareBool(x.job.Excess, y.job.Excess),
			x.job.accepted.Compare(y.job.accepted),
			cmp.Compare(x.job.Submission.ID, y.job.Submission.ID),
			cmp.Compare(x.number, y.number),
		)
	})
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	default:
		return 1
	}
}

// The ranks of lateness.
const (
	latenessNone = iota
	latenessLate
	// latenessUseless means that the result is of no use any more. The job
	// still runs, behind all others.
	latenessUseless
)

// lateness ranks steps by what the result of their job is still worth. One that
// can not be in time any more counts as late at once, so that it takes no room
// from those that can.
func (b *Board) lateness(s *step) int {
	j := s.job
	if j.objective == 0 || j.Submission.Schedule.IsTimed() || s.spec.LongRunning {
		return latenessNone
	}
	age := b.age(j)
	switch {
	case age > worthlessAfter*j.objective:
		return latenessUseless
	case age+time.Duration(surelyLeft*float64(s.left)) > j.objective:
		return latenessLate
	default:
		return latenessNone
	}
}

// placeTasks assigns the waiting tasks of a step one by one.
func (b *Board) placeTasks(s *step, q caspec.Queue, p *openPool) {
	if !s.spec.Size().Fits(p.most) {
		return
	}
	placed := false
	tasks := s.state().Tasks
	for i := range tasks {
		if tasks[i].Phase != castate.TaskWaiting {
			continue
		}
		u, pass := b.bestFor(s, q, p, avoided(s, &tasks[i]))
		if u == nil {
			break
		}
		b.assign(s, i, tasks[i].Run+1, u, pass)
		placed = true
	}
	if placed {
		p.measure()
	}
}

// avoided returns the upstream that a task should not run on again, if any: its last run
// failed there or is copied.
func avoided(s *step, t *castate.Task) cawork.UpstreamID {
	if t.Failures == 0 && !mayCopy(s.spec) {
		return ""
	}
	return t.Upstream
}

// bestFor returns the upstream for one more task of the step, with its ticket. The
// one to avoid comes last.
func (b *Board) bestFor(s *step, q caspec.Queue, p *openPool, avoid cawork.UpstreamID) (*upstream, string) {
	size := s.spec.Size()
	if !b.withinLimit(s.job.Submission.Team, size) {
		return nil, ""
	}
	var best *upstream
	var bestPass string
	var bestRank float64
	for _, u := range b.usableFor(s, q, p) {
		if !size.Fits(u.free()) {
			continue
		}
		rank := b.rankFor(s, u, avoid)
		if best != nil && (rank > bestRank || rank == bestRank && u.info.ID >= best.info.ID) {
			continue
		}
		if pass, ok := b.mayRun(s, q, u); ok {
			best, bestPass, bestRank = u, pass, rank
		}
	}
	return best, bestPass
}

// rankFor ranks an upstream for one more task of a step; the lowest goes first.
func (b *Board) rankFor(s *step, u *upstream, avoid cawork.UpstreamID) float64 {
	rank := unfitness(u, s.tight, b.takesPlace(s, u))
	if s.tight {
		rank += spreadWeight * lacking(s, u)
	}
	if u.info.ID == avoid || u.sick.ejections > 0 {
		rank += failedWeight
	}
	return rank
}

// lacking returns the part of what waits of a step that does not fit at an upstream.
func lacking(s *step, u *upstream) float64 {
	return max(1-float64(places(u.free(), s.spec))/float64(s.waiting), 0)
}

// usableFor returns the upstreams that may come into question for a step: those
// that were approved, where approval is needed.
func (b *Board) usableFor(s *step, q caspec.Queue, p *openPool) []*upstream {
	if q.Approval == nil {
		return p.upstreams
	}
	usable := make([]*upstream, 0, len(s.approval.tickets))
	for id := range s.approval.tickets {
		if u, ok := b.upstreams[id]; ok && u.open {
			usable = append(usable, u)
		}
	}
	return usable
}

// mayRun reports whether an upstream may run one more task of the step, with
// the ticket that permits it.
func (b *Board) mayRun(s *step, q caspec.Queue, u *upstream) (string, bool) {
	if !u.open || u.info.Pool != q.Pool || !u.info.HasLabel(s.spec.Label) || !b.mayBackfill(s, u) || !b.mayUseArea(s, q, u) {
		return "", false
	}
	if s.spec.MaxPerUpstream > 0 && u.count(s) >= s.spec.MaxPerUpstream || !b.rackSuits(s, u) {
		return "", false
	}
	if q.Approval == nil {
		return "", true
	}
	return s.approval.valid(u, b.now.Steady)
}

// count returns the runs of the step at the upstream.
func (u *upstream) count(s *step) int {
	n := 0
	for _, r := range u.runs {
		if r.step == s {
			n++
		}
	}
	return n
}

// rackSuits reports whether the step may use an upstream although its data is
// in another rack.
func (b *Board) rackSuits(s *step, u *upstream) bool {
	return s.spec.Rack == "" || u.info.HasLabel(s.spec.Rack) || b.outOfPatience(s)
}

func (b *Board) outOfPatience(s *step) bool {
	return b.now.Steady.Sub(s.readyAt) > time.Duration(rackPatience*float64(s.spec.Estimate))
}

// assign orders a run of a task at an upstream.
func (b *Board) assign(s *step, index, number int, u *upstream, pass string) {
	t := &s.state().Tasks[index]
	t.Phase = castate.TaskAssigned
	t.Run = number
	t.Upstream, t.Born = u.info.ID, u.info.Born
	s.waiting--
	r := b.newRun(s, index, u)
	r.ticket = pass
	r.ticketEnds = s.approval.tickets[u.info.ID].expires
	b.statsOf(s.job.Submission.Queue).started.add(b.now.Steady, work(s.spec.CPU, s.spec.Estimate, 1))
	r.resumed = t.Checkpoint != ""
	b.charge(r)
	b.noteAreaUse(s, u)
	b.checkAssigned(r)
	if !s.job.Began {
		s.job.Began = true
		if s.job.Phase == castate.PhaseQueued {
			s.job.Phase = castate.PhaseRunning
		}
	}
	b.touch(s.job)
	b.starts = append(b.starts, r)
}

// spot is a place for one member of a gang.
type spot struct {
	up   *upstream
	pass string
}

// placeGang assigns all tasks of a gang at once. It reports whether the gang
// is placed or does not wait for room.
func (b *Board) placeGang(s *step, q caspec.Queue, p *openPool) bool {
	if s.runs > 0 || s.waiting < s.spec.Tasks {
		return true
	}
	whole := s.spec.Size().Times(int64(s.spec.Tasks))
	if !b.withinLimit(s.job.Submission.Team, whole) {
		return true
	}
	if !whole.Fits(p.free) || !s.spec.Size().Fits(p.most) {
		return false
	}
	spots := b.gangSpots(s, q, p)
	if spots == nil {
		return false
	}
	defer p.measure()
	if s.wide {
		b.areaOf(q.Pool).noteGang(s.spec)
	}
	number := nextRun(s.state())
	checkpoint := newestCheckpoint(s.state())
	for i, at := range spots {
		s.state().Tasks[i].Checkpoint = checkpoint
		b.assign(s, i, number, at.up, at.pass)
	}
	return true
}

// nextRun returns a number above those of all members.
func nextRun(s *castate.StepState) int {
	last := 0
	for i := range s.Tasks {
		last = max(last, s.Tasks[i].Run)
	}
	return last + 1
}

// newestCheckpoint returns the one that all members resume from.
func newestCheckpoint(s *castate.StepState) string {
	newest := ""
	for i := range s.Tasks {
		newest = max(newest, s.Tasks[i].Checkpoint)
	}
	return newest
}

// gangSpots returns a place for each member, or nil. Members that are slow
// across racks get one rack while they have patience.
func (b *Board) gangSpots(s *step, q caspec.Queue, p *openPool) []spot {
	usable := b.gangUpstreams(s, q, p)
	if s.spec.SameRack {
		for _, members := range byRack(usable) {
			if spots := fill(s, members); spots != nil {
				return spots
			}
		}
		if !b.outOfPatience(s) {
			return nil
		}
	}
	return fill(s, usable)
}

type usableUpstream struct {
	spot
	room int
}

func (b *Board) gangUpstreams(s *step, q caspec.Queue, p *openPool) []usableUpstream {
	var usable []usableUpstream
	for _, u := range b.usableFor(s, q, p) {
		n := places(u.free(), s.spec)
		if n == 0 {
			continue
		}
		if pass, ok := b.mayRun(s, q, u); ok {
			usable = append(usable, usableUpstream{spot: spot{up: u, pass: pass}, room: n})
		}
	}
	slices.SortFunc(usable, func(x, y usableUpstream) int {
		return cmp.Or(compareBool(y.up.reservedBy == s, x.up.reservedBy == s), compareBool(x.up.inArea != s.wide, y.up.inArea != s.wide), cmp.Compare(x.up.free().CPU, y.up.free().CPU), cmp.Compare(x.up.info.ID, y.up.info.ID))
	})
	return usable
}

// fill returns a place for each member on the upstreams, in their order.
func fill(s *step, usable []usableUpstream) []spot {
	spots := make([]spot, 0, s.spec.Tasks)
	for _, u := range usable {
		for range u.room {
			if len(spots) == s.spec.Tasks {
				return spots
			}
			spots = append(spots, u.spot)
		}
	}
	if len(spots) < s.spec.Tasks {
		return nil
	}
	return spots
}

// byRack groups upstreams by their labels, the first rack that suffices first.
func byRack(usable []usableUpstream) [][]usableUpstream {
	groups := make(map[string][]usableUpstream)
	for _, u := range usable {
		for _, label := range u.up.info.Labels {
			groups[label] = append(groups[label], u)
		}
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([][]usableUpstream, 0, len(names))
	for _, name := range names {
		list = append(list, groups[name])
	}
	return list
}
