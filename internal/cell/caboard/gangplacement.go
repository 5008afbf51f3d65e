package caboard

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/cell/caroom"
	"celeryarch.example/celeryarch/internal/cell/caspec"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

// slot is room for one member of a gang.
type slot struct {
	upstream *upstream
	ticket   string
}

// placeGang assigns all tasks of a gang at once. It reports whether the gang needs no
// reservation: it is placed, or does not wait for room.
func (b *Planner) placeGang(s *step, q caspec.Queue, p *poolPlan) bool {
	if s.liveRuns > 0 || s.waitingTasks < s.spec.Tasks || b.isGangHeldBack(s) {
		return true
	}
	gangSize := s.spec.Size().Times(int64(s.spec.Tasks))
	if !b.withinLimit(s.job.Submission.Team, gangSize) {
		return true
	}
	if !gangSize.Fits(p.free) || !s.spec.Size().Fits(p.maxFree) {
		return false
	}
	if q.Approval != nil && !b.hasRoomAtApproved(s) {
		return false
	}
	slots := b.gangSlots(s, q, p)
	if slots == nil {
		return false
	}
	defer p.endPlacement()
	if s.wide {
		b.partitionOf(q.Pool).AddGang(s.spec)
	}
	number := nextRunNumber(s.state())
	checkpoint := newestCheckpoint(s.state())
	for i, slot := range slots {
		s.state().Tasks[i].Checkpoint = checkpoint
		b.assign(s, i, number, slot.upstream, slot.ticket)
	}
	return true
}

// nextRunNumber returns a run number above those of all members.
func nextRunNumber(s *castate.StepState) int {
	last := 0
	for i := range s.Tasks {
		last = max(last, s.Tasks[i].Run)
	}
	return last + 1
}

// newestCheckpoint returns the checkpoint from which all members resume.
func newestCheckpoint(s *castate.StepState) string {
	newest := ""
	for i := range s.Tasks {
		newest = max(newest, s.Tasks[i].Checkpoint)
	}
	return newest
}

// gangSlots returns a slot for each member, or nil. Gangs that run slowly across racks
// wait for room in one rack, for a limited time.
func (b *Planner) gangSlots(s *step, q caspec.Queue, p *poolPlan) []slot {
	usable := b.gangUpstreams(s, q, p)
	if s.spec.SameRack {
		for _, inRack := range groupByRack(usable) {
			if slots := fillSlotsBySpeed(s, inRack); slots != nil {
				return slots
			}
		}
		if !b.isRackWaitOver(s) {
			return nil
		}
	}
	return fillSlotsBySpeed(s, usable)
}

// fillSlotsBySpeed returns a slot for each member: on upstreams of the speed at which the gang should run, else on
// the others, else on both. The members of a gang end together, so that one on a slow upstream slows all.
func fillSlotsBySpeed(s *step, usable []usableUpstream) []slot {
	suits := func(u usableUpstream) bool { return s.suitsSpeed(u.upstream) }
	if !slices.ContainsFunc(usable, func(u usableUpstream) bool { return u.upstream.slow }) {
		return fillSlots(s, usable)
	}
	if slots := fillSlots(s, selectUpstreams(usable, suits)); slots != nil {
		return slots
	}
	if slots := fillSlots(s, selectUpstreams(usable, func(u usableUpstream) bool { return !suits(u) })); slots != nil {
		return slots
	}
	return fillSlots(s, usable)
}

func selectUpstreams(usable []usableUpstream, selects func(usableUpstream) bool) []usableUpstream {
	var selected []usableUpstream
	for _, u := range usable {
		if selects(u) {
			selected = append(selected, u)
		}
	}
	return selected
}

// usableUpstream is an upstream with room for members of a gang.
type usableUpstream struct {
	slot
	freeSlots int
	// risk is what a crash of the upstream would cost for each slot, for a gang on probation.
	risk float64
}

// gangUpstreams returns the upstreams with room for members of a gang, the preferred ones
// first.
func (b *Planner) gangUpstreams(s *step, q caspec.Queue, p *poolPlan) []usableUpstream {
	var usable []usableUpstream
	for _, u := range b.usableUpstreams(s, q, p) {
		fitting := caroom.TasksIn(b.roomFor(s, u), s.spec)
		if fitting == 0 {
			continue
		}
		if ticket, ok := b.mayPlace(s, q, u); ok {
			usable = append(usable, usableUpstream{slot: slot{upstream: u, ticket: ticket}, freeSlots: fitting, risk: s.probationRisk(u, fitting)})
		}
	}
	slices.SortFunc(usable, func(x, y usableUpstream) int {
		return cmp.Or(cmp.Compare(x.risk, y.risk), compareBool(y.upstream.reservedBy == s, x.upstream.reservedBy == s), compareBool(x.upstream.inPartition != s.wide, y.upstream.inPartition != s.wide), cmp.Compare(x.upstream.free().CPU, y.upstream.free().CPU), cmp.Compare(x.upstream.info.ID, y.upstream.info.ID))
	})
	return usable
}

// fillSlots returns a slot for each member, filling the upstreams in their order, or nil
// if there are too few.
func fillSlots(s *step, usable []usableUpstream) []slot {
	slots := make([]slot, 0, s.spec.Tasks)
	for _, u := range usable {
		for range u.freeSlots {
			if len(slots) == s.spec.Tasks {
				return slots
			}
			slots = append(slots, u.slot)
		}
	}
	if len(slots) < s.spec.Tasks {
		return nil
	}
	return slots
}

// groupByRack groups upstreams by their labels, which include their racks, in the order
// of the labels.
func groupByRack(usable []usableUpstream) [][]usableUpstream {
	groups := make(map[string][]usableUpstream)
	for _, u := range usable {
		for _, label := range u.upstream.info.Labels {
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
