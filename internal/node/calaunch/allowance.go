package calaunch

import (
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/coord/caescrow"
	"celeryarch.example/celeryarch/internal/coord/cajob"
)

// moveAllowance transfers allowance from the shard of this entry to a shard
// that was taken over, for attempts that the scheduler charged to the former.
func (l *Launcher) moveAllowance(attempts []*attempt) {
	to, team := attempts[0].shard, attempts[0].team
	var amount cawork.Resources
	for _, a := range attempts {
		a.allowanceMoved = true
		amount = amount.Plus(a.size)
	}
	sent := cajob.Record{Type: cajob.RecordAllowanceSent, AllowanceSent: &cajob.AllowanceSent{To: to, Team: team, Amount: amount}}
	err := l.propose(l.Shard, sent, func(err error) {
		if err != nil {
			l.abandon(attempts, err)
			return
		}
		l.creditAllowance(attempts, to, team)
	})
	if err != nil {
		l.abandon(attempts, err)
	}
}

// creditAllowance credits the transfer and records the intents again. If the
// transfer cannot be credited now, the allowance exchange sends it again.
func (l *Launcher) creditAllowance(attempts []*attempt, to cawork.ShardID, team cawork.TeamName) {
	transfer, ok := l.unacknowledgedTransfer(to, team)
	if !ok {
		l.recordIntents(attempts)
		return
	}
	received := cajob.Record{Type: cajob.RecordAllowanceReceived, AllowanceReceived: &transfer}
	err := l.propose(to, received, func(err error) {
		if err != nil {
			l.abandon(attempts, err)
			return
		}
		l.recordIntents(attempts)
	})
	if err != nil {
		l.abandon(attempts, err)
	}
}

func (l *Launcher) unacknowledgedTransfer(to cawork.ShardID, team cawork.TeamName) (caescrow.Transfer, bool) {
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
