package caleader

import (
	"context"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caapproval"
	"celeryarch.example/celeryarch/internal/cell/caorder"
)

// advice is the answer to an approval request.
type advice struct {
	approved []caorder.Approval
	err      error
}

// errAdviseEnded is the error of a call that panicked.
var errAdviseEnded = cakind.New(cakind.KindInternal, "the call to the advisor ended without a result")

// setAdvisorProxies sets through which entries the advisor can be asked, and so how much can be asked at once.
func (l *Leader) setAdvisorProxies(now time.Time, names []cawork.VMID) {
	l.proxies.SetPresent(now, names)
	l.planner.SetRequestLimits(l.proxies.Limits(now))
}

// advise sends an approval request through the least loaded entry and passes the answer to the planner.
// When the answer is overdue the planner may repeat the request; a late answer is applied nevertheless.
func (l *Leader) advise(ctx context.Context, ask caorder.ApprovalRequest) {
	request, ok := l.assignRequest(ask)
	if !ok {
		l.endRequest(ask, nil, false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, caapproval.GiveUpAfter)
	defer cancel()
	answers := make(chan advice, 1)
	l.spawn(func() {
		answer := advice{err: errAdviseEnded}
		defer func() { answers <- answer }()
		answer.approved, answer.err = l.AdvisorProxies.AdviseVia(ctx, request.Proxy, ask)
	})
	overdue := l.Timer.After(request.OverdueAfter)
	defer overdue.Close()
	select {
	case answer := <-answers:
		l.closeRequest(ask, request, answer)
		l.endRequest(ask, answer.approved, answer.err == nil)
	case <-overdue.C:
		l.markOverdue(ask, request)
		l.endRequest(ask, nil, false)
		answer := <-answers
		l.closeRequest(ask, request, answer)
		l.applyLateAdvice(ask, answer)
	}
}

func (l *Leader) assignRequest(ask caorder.ApprovalRequest) (caapproval.Request, bool) {
	names := l.AdvisorProxies.Names()
	l.lock(partReport)
	defer l.mu.unlock()
	now := l.Timer.Now()
	l.proxies.SetPresent(now, names)
	return l.proxies.Assign(now, ask)
}

// markOverdue records that the answer to a request is overdue.
func (l *Leader) markOverdue(ask caorder.ApprovalRequest, request caapproval.Request) {
	l.lock(partReport)
	defer l.mu.unlock()
	now := l.Timer.Now()
	caevent.Warn(l.Log, caevent.ApprovalOverdue).Str("entry", string(request.Proxy)).Str("job", string(ask.Job)).Int("step", ask.Step).
		Int("asked", len(ask.Upstreams)).Dur("announced", request.Announced).Dur("waited", now.Sub(request.SentAt)).
		Float64("slowness", l.proxies.Slowness(now)).Send()
	l.proxies.MarkOverdue(now, request)
}

// closeRequest records the end of the call of a request.
func (l *Leader) closeRequest(ask caorder.ApprovalRequest, request caapproval.Request, answer advice) {
	if answer.err != nil {
		caevent.Warn(l.Log, caevent.AdvisorUnavailable).Str("entry", string(request.Proxy)).Str("job", string(ask.Job)).Err(answer.err).Send()
	}
	l.lock(partReport)
	defer l.mu.unlock()
	now := l.Timer.Now()
	l.proxies.End(now, request, answer.err == nil)
	l.Scope.Gauge("advisor_slowness").Update(l.proxies.Slowness(now))
}

// endRequest tells the planner the answer to a request, or that there is none.
func (l *Leader) endRequest(ask caorder.ApprovalRequest, approved []caorder.Approval, answered bool) {
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	l.planner.ApplyAdvice(ask, approved, answered)
	l.wakePlanner()
}

func (l *Leader) applyLateAdvice(ask caorder.ApprovalRequest, answer advice) {
	if answer.err != nil {
		return
	}
	l.lock(partReport)
	defer l.mu.unlock()
	l.planner.SetNow(l.now())
	l.planner.ApplyLateAdvice(ask, answer.approved)
	l.wakePlanner()
}
