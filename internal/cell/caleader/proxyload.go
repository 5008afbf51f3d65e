package caleader

import (
	"cmp"
	"context"
	"slices"
	"time"

	"celeryarch.example/celeryarch/internal/base/caevent"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caboard"
)

const (
	// maxAsksPerProxy bounds the unanswered questions to the advisor sent through
	// one entry: the advisor handles one while the next is in transit.
	maxAsksPerProxy = 2
	// longAskProxyShare is the fraction of entries that may carry long
	// questions. The others stay free for short ones.
	longAskProxyShare = 0.6
	// askTimeoutMargin is added to the expected duration of a question to get
	// its timeout.
	askTimeoutMargin = 1500 * time.Millisecond
	// proxyBackoff is how long an entry gets no questions after it failed to
	// answer one.
	proxyBackoff = 2 * time.Second
)

// proxyLoad tracks when each entry is expected to have answered the questions
// assigned to it. The advisor handles one question per entry at a time.
type proxyLoad struct {
	busyUntil    map[cawork.VMID]time.Time
	backoffUntil map[cawork.VMID]time.Time
}

// assign picks the entry with the shortest backlog for a question and adds the
// question's cost to that backlog. It returns the expected time of the answer.
// Long questions use only a part of the entries. Entries in backoff are used
// only if all of them are.
func (p *proxyLoad) assign(now time.Time, proxies []cawork.VMID, ask caboard.ApprovalRequest) (cawork.VMID, time.Time, bool) {
	if p.busyUntil == nil {
		p.busyUntil = make(map[cawork.VMID]time.Time)
		p.backoffUntil = make(map[cawork.VMID]time.Time)
	}
	usable := make([]cawork.VMID, 0, len(proxies))
	for _, proxy := range proxies {
		if !now.Before(p.backoffUntil[proxy]) {
			usable = append(usable, proxy)
		}
	}
	if len(usable) == 0 {
		usable = proxies
	}
	if len(usable) == 0 {
		return "", now, false
	}
	slices.Sort(usable)
	if ask.Long && len(usable) > 1 {
		usable = usable[:longAskProxies(len(usable))]
	} else {
		slices.Reverse(usable)
	}
	best := slices.MinFunc(usable, func(x, y cawork.VMID) int {
		return cmp.Compare(p.backlog(now, x), p.backlog(now, y))
	})
	answerDue := now.Add(p.backlog(now, best) + ask.Cost)
	p.busyUntil[best] = answerDue
	return best, answerDue, true
}

// longAskProxies returns how many of n entries may carry long questions.
func longAskProxies(n int) int { return max(int(float64(n)*longAskProxyShare+0.5), 1) }

// askSlots returns how many questions may await an answer with n entries.
func askSlots(n int) caboard.RequestLimits {
	return caboard.RequestLimits{Total: n * maxAsksPerProxy, Long: longAskProxies(n)}
}

func (p *proxyLoad) backlog(now time.Time, proxy cawork.VMID) time.Duration {
	return max(p.busyUntil[proxy].Sub(now), 0)
}

// advise sends a question to the advisor through the least loaded entry and
// passes the answer to the planner.
func (l *Leader) advise(ctx context.Context, ask caboard.ApprovalRequest) {
	proxies := l.AdvisorProxies.Names()
	l.lock(partReport)
	now := l.Timer.Now()
	proxy, answerDue, ok := l.proxyLoad.assign(now, proxies, ask)
	l.mu.unlock()
	var approved []caboard.Approval
	if ok {
		approved, ok = l.adviseVia(ctx, proxy, ask, answerDue.Sub(now)+askTimeoutMargin)
	}
	l.lock(partReport)
	defer l.mu.unlock()
	if !ok && proxy != "" {
		l.proxyLoad.backoffUntil[proxy] = l.Timer.Now().Add(proxyBackoff)
	}
	l.planner.SetNow(l.now())
	l.planner.ApplyAdvice(ask, approved, ok)
	l.wakePlanner()
}

func (l *Leader) adviseVia(ctx context.Context, proxy cawork.VMID, ask caboard.ApprovalRequest, timeout time.Duration) ([]caboard.Approval, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	approved, err := l.AdvisorProxies.AdviseVia(ctx, proxy, ask)
	if err != nil && ctx.Err() == nil {
		caevent.Warn(l.Log, caevent.AdvisorUnavailable).Str("entry", string(proxy)).Str("job", string(ask.Job)).Err(err).Send()
	}
	return approved, err == nil
}
