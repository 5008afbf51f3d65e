package cashard

import (
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/cawork"
)

// primary leads a shard. possible holds every view that may be in force, in
// ascending order: the settled one and those that a change has brought up and
// not yet decided. The primary acts, and records take effect, only as far as
// every possible view allows it.
type primary struct {
	self          Member
	zone          cawork.ZoneName
	cfg           Config
	machine       StateMachine
	possibleViews []View
	// settledView is the last view that was known to be in force and registered.
	settledView View
	change      *change
	// backoffUntil is the time before which no change follows one whose witness
	// did not answer.
	backoffUntil  time.Time
	highestNumber int64
	// firstNumber is the number of the first view that this primary leads.
	firstNumber int64
	log         recordLog
	commitIndex int64
	peers       map[Member]*peer
	registers   map[cawork.UpstreamID]*register
	// candidates and witnesses are in the order of preference.
	candidates []Candidate
	witnesses  []cawork.UpstreamID
	// draining refuses further records; retiring and yielding end the lead.
	draining bool
	retiring bool
	yielding bool
	// halted stops everything, for another lead to be agreed on without the
	// lost witness.
	halted bool
	done   bool
	// deposedBy is the view that ended the lead.
	deposedBy View
	// violation is the first invariant that was broken.
	violation error
}

// peer is what the primary knows of another member.
type peer struct {
	member   Member
	inFlight bool
	// adopted is the number of the view that the member holds.
	adopted int64
	// acked is the index of the last record that the member holds.
	acked int64
	// hasReplica reports that the member holds a replica that began with acked.
	hasReplica bool
	lastSent   time.Time
	// failed reports that the last call ended with an error, refused that the
	// member answered with a refusal.
	failed bool
	// leaseStart is the send time of the last acknowledged message.
	leaseStart time.Time
	refused    bool
	// snapshot is the snapshot on its way to the member, received how much of it
	// has arrived, and progress when the last part did.
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
		registers:     map[cawork.UpstreamID]*register{},
	}
}

// target returns the newest possible view, which the primary works towards.
func (p *primary) target() View { return p.possibleViews[len(p.possibleViews)-1] }

// isSettled reports whether the one possible view is in force and registered.
func (p *primary) isSettled() bool { return p.change == nil && p.target() == p.settledView }

func (p *primary) peer(m Member) *peer {
	if q, ok := p.peers[m]; ok {
		return q
	}
	q := &peer{member: m}
	p.peers[m] = q
	return q
}

func (p *primary) registerAt(u cawork.UpstreamID) *register {
	if r, ok := p.registers[u]; ok {
		return r
	}
	r := &register{}
	p.registers[u] = r
	return r
}

// requiredBackups returns the members whose acknowledgment a record needs: the
// backups of all possible views.
func (p *primary) requiredBackups() []Member {
	var out []Member
	for _, v := range p.possibleViews {
		if !v.IsSolo() && !slices.Contains(out, v.Backup) {
			out = append(out, v.Backup)
		}
	}
	return out
}

// mayAct returns the lowest possible view number and whether the leases of all
// required backups are valid. A taker-over fences with a higher number.
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

// advance commits what may be committed and sends what is due.
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

// commit lets records take effect that every required backup holds.
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

// trim drops records that every member of interest holds.
func (p *primary) trim() {
	upTo := p.commitIndex
	for _, m := range p.followers() {
		upTo = min(upTo, p.peer(m).acked)
	}
	p.log.trim(max(upTo, p.commitIndex-int64(p.cfg.TailRecords)))
}

// followers returns the members that get records: the required ones and the
// one that is being recruited.
func (p *primary) followers() []Member {
	out := p.requiredBackups()
	if c := p.change; c != nil && !c.view.IsSolo() && !slices.Contains(out, c.view.Backup) {
		out = append(out, c.view.Backup)
	}
	return out
}

// replicate sends to every follower that lacks something or is due to hear.
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

// viewFor returns the view that the member shall hold as a backup. While a new
// view is being registered, the backup of an older one stays there.
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

// shouldRelease reports whether the member is told to drop its replica: its view
// must be excluded and its register may not answer, or the shard retires.
func (p *primary) shouldRelease(q *peer) bool {
	if p.retiring {
		return true
	}
	return p.change != nil && p.change.stage == stageRegister &&
		slices.ContainsFunc(p.conflictingViews(), func(older View) bool { return older.Backup == q.member })
}

// buildRequest builds the next message to a follower.
func (p *primary) buildRequest(q *peer) (ReplicateRequest, error) {
	if p.shouldRelease(q) {
		return ReplicateRequest{To: q.member, View: p.releaseView(), Release: true}, nil
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

// releaseView returns the view that goes on without a released member.
func (p *primary) releaseView() View {
	if p.change != nil {
		return p.change.view
	}
	return p.nextView(p.target()).WithBackup(Member{})
}

// onReply folds the answer of a member to a message sent at the time.
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

// hasYieldedTo reports whether the view is the one that the backup took over to
// after this primary had yielded with nothing left to acknowledge.
func (p *primary) hasYieldedTo(v View) bool {
	return p.yielding && v.Backup == p.self && v.Primary == p.settledView.Backup &&
		v.Number == p.settledView.Number+1 && p.commitIndex == p.log.last()
}

// depose ends the leadership for good.
func (p *primary) depose(by View, out *effects) {
	if p.done {
		return
	}
	p.done = true
	p.deposedBy = by
	out.events = append(out.events, Event{Type: EventDeposed, Shard: by.Shard, View: by})
}
