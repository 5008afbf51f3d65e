package cajob

import (
	"cmp"
	"slices"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
)

// Demand returns, for each team, the total resources of its tasks that wait for
// a start, and the least amount that starts any of them: that of one task or
// of a whole gang.
func (s *State) Demand() []caescrow.Need {
	needs := make(map[cawork.TeamName]*caescrow.Need)
	for _, j := range s.jobs {
		if !j.IsOpen() || j.Canceled {
			continue
		}
		waiting := 0
		for i := range j.Tasks {
			if j.NeedsStart(i) {
				waiting++
			}
		}
		if waiting > 0 {
			addNeed(needs, j, waiting)
		}
	}
	list := make([]caescrow.Need, 0, len(needs))
	for _, n := range needs {
		list = append(list, *n)
	}
	slices.SortFunc(list, func(a, b caescrow.Need) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

func addNeed(needs map[cawork.TeamName]*caescrow.Need, j *Job, waiting int) {
	size := j.Job.Spec.Size
	least := size
	if j.Job.Spec.Kind == cawork.WorkKindGang {
		least = size.Times(int64(waiting))
	}
	n, ok := needs[j.Job.Team]
	if !ok {
		n = &caescrow.Need{Team: j.Job.Team, Least: least}
		needs[j.Job.Team] = n
	}
	n.Amount = n.Amount.Plus(size.Times(int64(waiting)))
	if least.Fits(n.Least) {
		n.Least = least
	}
}
