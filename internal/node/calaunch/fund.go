package calaunch

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
)

// fund moves allowance of the own shard to a shard that was taken over, for
// attempts of it that the scheduler has charged to the own one.
func (l *Launcher) fund(attempts []*attempt) {
	to, team := attempts[0].shard, attempts[0].team
	var amount cawork.Resources
	for _, a := range attempts {
		a.funded = true
		amount = amount.Plus(a.size)
	}
	sent := cajob.Record{Type: cajob.RecordAllowanceSent, AllowanceSent: &cajob.AllowanceSent{To: to, Team: team, Amount: amount}}
	err := l.propose(l.Shard, sent, func(err error) {
		if err != nil {
			l.abandon(attempts, err)
			return
		}
		l.receive(attempts, to, team)
	})
	if err != nil {
		l.abandon(attempts, err)
	}
}

// receive credits the transfer and tries the intent again. A transfer that
// cannot be credited now is sent again by the exchange of allowances.
func (l *Launcher) receive(attempts []*attempt, to cawork.ShardID, team cawork.TeamName) {
	transfer, ok := l.transferTo(to, team)
	if !ok {
		l.intend(attempts)
		return
	}
	received := cajob.Record{Type: cajob.RecordAllowanceReceived, AllowanceReceived: &transfer}
	err := l.propose(to, received, func(err error) {
		if err != nil {
			l.abandon(attempts, err)
			return
		}
		l.intend(attempts)
	})
	if err != nil {
		l.abandon(attempts, err)
	}
}

func (l *Launcher) transferTo(to cawork.ShardID, team cawork.TeamName) (caescrow.Transfer, bool) {
	var found caescrow.Transfer
	ok := false
	l.readState(l.Shard, func(s *cajob.State) {
		for _, t := range s.Account().Unacknowledged() {
			if t.To == to && t.Team == team {
				found, ok = t, true
			}
		}
	})
	return found, ok
}
