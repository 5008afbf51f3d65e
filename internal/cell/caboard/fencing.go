package caboard

import "celeryarch.example/celeryarch/internal/base/cawork"

// A leader may use each number from its fencing token up to the end of its log as a token: those of the leaders
// before are lower, and those of its successors are higher. A later incarnation of an upstream gets the end of
// the log. Once it has answered a call with that token, it rejects what was meant for earlier incarnations.

// SetToken sets the fencing token of the leader.
func (b *Planner) SetToken(token int64) { b.token = token }

// SetLogEnd sets the offset after the last record that the leader has stored.
func (b *Planner) SetLogEnd(end int64) { b.logEnd = end }

// raiseToken gives an incarnation a token above those of the calls to earlier ones that may still be carried out. It
// is tried again if the leader has stored nothing since the last one.
func (b *Planner) raiseToken(u *upstream) {
	if u.awaitsToken || !u.calls.HasEarlier() || b.token == 0 || b.logEnd <= max(b.token, u.token) {
		return
	}
	u.token, u.awaitsToken = b.logEnd, true
	b.raisedTokens[u.info.ID] = u.token
}

// applyToken applies that the present incarnation has answered a call with the token, so that it carries out none with a
// lower one any more.
func (b *Planner) applyToken(u *upstream, token int64) {
	if !u.awaitsToken || token != u.token {
		return
	}
	u.awaitsToken = false
	u.calls.RemoveEarlier()
	u.updateForgetting()
	if end := b.now.Monotonic.Add(longestLease(maxLease)); u.leaseExpires.After(end) {
		u.leaseExpires = end
	}
}

// IsOutdatedToken reports whether the leader has used a higher token for an upstream than that of an order, so that
// a rejection of the order shows no other leader. Zero is the token of the leader.
func (b *Planner) IsOutdatedToken(id cawork.UpstreamID, token int64) bool {
	return token < b.raisedTokens[id]
}
