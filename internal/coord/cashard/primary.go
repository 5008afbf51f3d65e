package cashard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// primary leads a shard. possibleViews holds every view that may be in force, in
// ascending order: the settled view, and the views of changes whose outcome is
// not known yet. The primary acts, and records take effect, only as far as every
// possible view allows it.
type primary struct {
	self          Member
	zone          cawork.ZoneName
	cfg           Config
	machine       StateMachine
	possibleViews []View
	// settledView is the latest view that is known to have been in force and
	// registered.
	settledView View
	change      *change
	// backoffUntil is the time before which no new change starts, after a change
	// failed because its witness did not answer.
	backoffUntil  time.Time
	highestNumber int64
	// firstNumber is the number of the first view of this primary.
	firstNumber int64
	log         recordLog
	commitIndex int64
	peers       map[Member]*peer
	registers   map[cawork.UpstreamID]*registerState
	// candidates and witnesses are in order of preference.
	candidates []Candidate
	witnesses  []cawork.UpstreamID
	// draining rejects further records. retiring and yielding also forbid acting,
	// as the shard ends or is handed over to its backup.
	draining bool
	retiring bool
	yielding bool
	// halted stops all activity, so that the members can agree on another primary
	// without the lost witness.
	halted bool
	done   bool
	// deposedBy is the view that replaced this primary.
	deposedBy View
	// violation is the first invariant that was broken.
	violation error
}

// peer is the state of another member as last reported to the primary.
type peer struct {
	member   Member
	inFlight bool
	// adopted is the number of the view that the member holds.
	adopted int64
	// acked is the index of the last record that the member holds.
	acked int64
	// hasReplica reports that the member is known to hold a replica with the
	// records up to acked.
	hasReplica bool
	lastSent   time.Time
	// failed reports that the last call returned an error, and refused that the
	// member rejected the last request.
	failed bool
	// leaseStart is the send time of the last acknowledged message.
	leaseStart time.Time
	refused    bool
	// snapshot is being sent to the member, receivedBytes of it have arrived, and
	// lastProgress is when the member last confirmed a chunk.
	snapshot      *outgoingSnapshot
	receivedBytes int64
	lastProgress  time.Time
	backoffUntil  time.Time
}

func newPrimary(self Member, zone cawork.ZoneName, cfg Config, view View, m StateMachine, lastIndex int64) *primary {
	return &primary{
		self: self, zone: zone, cfg: cfg, machine: m,
		possibleViews: []View{view},
		settledView:   view,
		highestNumber: view.Number,
		firstNumber:   view.Number,
		log:           recordLog{base: lastIndex},
		commitIndex:   lastIndex,
		peers:         map[Member]*peer{},
		registers:     map[cawork.UpstreamID]*registerState{},
	}
}

// target returns the newest possible view, which the primary works towards.
func (p *primary) target() View { return p.possibleViews[len(p.possibleViews)-1] }

// isSettled reports whether the newest possible view is in force and registered
// and no change is under way.
func (p *primary) isSettled() bool { return p.change == nil && p.target() == p.settledView }

func (p *primary) peer(m Member) *peer {
	if q, ok := p.peers[m]; ok {
		return q
	}
	q := &peer{member: m}
	p.peers[m] = q
	return q
}

func (p *primary) registerAt(u cawork.UpstreamID) *registerState {
	if r, ok := p.registers[u]; ok {
		return r
	}
	r := &registerState{}
	p.registers[u] = r
	return r
}

// requiredBackups returns the members that must acknowledge a record before it
// takes effect: the backups of all possible views.
func (p *primary) requiredBackups() []Member {
	var out []Member
	for _, v := range p.possibleViews {
		if !v.IsSolo() && !slices.Contains(out, v.Backup) {
			out = append(out, v.Backup)
		}
	}
	return out
}

// mayAct returns the lowest possible view number, and whether the primary may act:
// it is not being ended and the leases of all required backups are valid. A member
// that takes over fences with a higher number.
func (p *primary) mayAct(now time.Time) (int64, bool) {
	number := p.possibleViews[0].Number
	if p.done || p.halted || p.yielding || p.retiring || p.violation != nil {
		return number, false
	}
	for _, m := range p.requiredBackups() {
		q := p.peer(m)
		if q.leaseStart.IsZero() || now.Sub(q.leaseStart) >= p.cfg.primaryLease() {
			return number, false
		}
	}
	return number, true
}

// append adds a record and returns its index.
func (p *primary) append(now time.Time, record []byte, out *effects) int64 {
	index := p.log.add(record)
	p.advance(now, out)
	return index
}

// advance commits the records that may take effect, advances the change of view,
// sends the messages that are due and verifies the invariants.
func (p *primary) advance(now time.Time, out *effects) {
	if p.halted {
		return
	}
	p.commit(now, out)
	p.advanceChange(now, out)
	p.replicate(now, out)
	if err := p.verify(); err != nil && p.violation == nil {
		p.violation = err
		out.violations = append(out.violations, err)
	}
}

// commit applies the records that every required backup holds.
func (p *primary) commit(now time.Time, out *effects) {
	if _, ok := p.mayAct(now); !ok {
		return
	}
	upTo := p.log.last()
	for _, m := range p.requiredBackups() {
		upTo = min(upTo, p.peer(m).acked)
	}
	for p.commitIndex < upTo {
		p.commitIndex++
		record := p.log.at(p.commitIndex)
		err := p.machine.Apply(record)
		out.commits = append(out.commits, committedRecord{index: p.commitIndex, record: record, err: err})
	}
	p.trim()
}

// trim drops the committed records that every follower holds. It keeps at most
// TailRecords committed records.
func (p *primary) trim() {
	upTo := p.commitIndex
	for _, m := range p.followers() {
		upTo = min(upTo, p.peer(m).acked)
	}
	p.log.trim(max(upTo, p.commitIndex-int64(p.cfg.TailRecords)))
}

// followers returns the members that receive records: the required backups and
// the backup of the change under way.
func (p *primary) followers() []Member {
	out := p.requiredBackups()
	if c := p.change; c != nil && !c.view.IsSolo() && !slices.Contains(out, c.view.Backup) {
		out = append(out, c.view.Backup)
	}
	return out
}

// replicate sends a message to every follower that lacks a record or a view, or
// whose heartbeat is due.
func (p *primary) replicate(now time.Time, out *effects) {
	if p.done {
		return
	}
	for _, m := range p.followers() {
		q := p.peer(m)
		if q.inFlight || !p.isDue(now, q) {
			continue
		}
		req, err := p.buildRequest(q)
		if err != nil {
			continue
		}
		q.inFlight = true
		q.lastSent = now
		out.calls = append(out.calls, callEffect{request: req})
	}
}

func (p *primary) isDue(now time.Time, q *peer) bool {
	if now.Sub(q.lastSent) >= p.cfg.Heartbeat {
		return true
	}
	if q.refused || q.failed || p.shouldRelease(q) {
		return false
	}
	return q.acked < p.log.last() || q.adopted < p.viewFor(q).Number
}

// viewFor returns the view that the member should hold as a backup. While a new
// view is being registered, a member keeps the older view that it is the backup
// of, unless it has adopted a later one.
func (p *primary) viewFor(q *peer) View {
	c := p.change
	if c != nil && c.view.Backup == q.member && c.stage != stageRegister {
		return c.view
	}
	newest := p.target()
	for _, v := range slices.Backward(p.possibleViews) {
		if v.Backup == q.member && (v.Number >= q.adopted || newest.Backup != q.member) {
			newest = v
		}
	}
	return newest
}

// shouldRelease reports whether the member should drop its replica because its view
// conflicts with the one being registered. The release excludes that view even if
// its witness does not answer.
func (p *primary) shouldRelease(q *peer) bool {
	return p.change != nil && p.change.stage == stageRegister &&
		slices.ContainsFunc(p.conflictingViews(), func(older View) bool { return older.Backup == q.member })
}

// buildRequest builds the next message to a follower.
func (p *primary) buildRequest(q *peer) (ReplicateRequest, error) {
	if p.shouldRelease(q) {
		return ReplicateRequest{To: q.member, View: p.change.view, Release: true}, nil
	}
	req := ReplicateRequest{To: q.member, View: p.viewFor(q), Yield: p.yielding, First: q.acked + 1}
	req.Settled = req.View == p.settledView
	records, ok := p.log.after(q.acked, p.cfg.BatchRecords)
	if q.hasReplica && ok {
		req.Records = records
		return req, nil
	}
	chunk, err := p.nextChunk(q, req.View)
	if err != nil {
		return req, err
	}
	req.Snapshot = chunk
	req.First = chunk.Index + 1
	if chunk.Offset+int64(len(chunk.State)) == chunk.Total {
		req.Records, _ = p.log.after(chunk.Index, p.cfg.BatchRecords)
	}
	return req, nil
}

// onReply handles the reply of a member to a message that was sent at sentAt.
func (p *primary) onReply(now, sentAt time.Time, req ReplicateRequest, r ReplicateReply, err error, out *effects) {
	q := p.peer(req.To)
	q.inFlight = false
	q.failed = err != nil
	if p.done || p.halted || err != nil {
		return
	}
	q.refused = r.Status != ReplyOK && r.Status != ReplyBehind && r.Status != ReplyPartial
	p.highestNumber = max(p.highestNumber, r.Floor)
	switch r.Status {
	case ReplyOK:
		p.handleAck(q, sentAt, req, r)
	case ReplyBehind:
		q.hasReplica = false
		q.acked = 0
		q.snapshot = nil
	case ReplyPartial:
		q.receivedBytes = r.Received
		q.lastProgress = now
	case ReplyDeposed:
		if r.View.Primary != p.self && r.View.Number > p.possibleViews[0].Number {
			p.depose(r.View, out)
		}
	case ReplyWrongMember, ReplyFenced, ReplyBusy:
		q.backoffUntil = now.Add(p.cfg.CandidateRest)
	}
	p.advance(now, out)
}

func (p *primary) handleAck(q *peer, sentAt time.Time, req ReplicateRequest, r ReplicateReply) {
	if req.Release {
		q.adopted = max(q.adopted, r.Adopted)
		q.hasReplica = false
		return
	}
	if !q.hasReplica {
		q.acked = 0
	}
	q.hasReplica = true
	q.snapshot = nil
	q.acked = max(q.acked, r.Last)
	q.adopted = max(q.adopted, r.Adopted)
	if sentAt.After(q.leaseStart) {
		q.leaseStart = sentAt
	}
}

// hasYieldedTo reports whether the view is the takeover by the backup to which
// this primary yielded, with no record left to commit.
func (p *primary) hasYieldedTo(v View) bool {
	return p.yielding && v.Backup == p.self && v.Primary == p.settledView.Backup &&
		v.Number == p.settledView.Number+1 && p.commitIndex == p.log.last()
}

// depose ends this primary for good.
func (p *primary) depose(by View, out *effects) {
	if p.done {
		return
	}
	p.done = true
	p.deposedBy = by
	out.events = append(out.events, Event{Type: EventDeposed, Shard: by.Shard, View: by})
}
