package caboard

import "time"

const (
	// LeaseLength is how long an upstream keeps its runs without a renewal. It
	// outlasts the cut of a zone for a few seconds and a change of the leader.
	LeaseLength = 6500 * time.Millisecond
	// clockDrift is by how much a steady clock of an upstream may be slow.
	clockDrift = 1.021
	// leaseSlack covers the rounding of leases and the time to end runs.
	leaseSlack = 300 * time.Millisecond
	// reportAge is the age of a report beyond which an upstream gets no work.
	reportAge = 2200 * time.Millisecond
	// restAfterRefusal keeps new work from an upstream that turned some away.
	restAfterRefusal = 500 * time.Millisecond
	// lateStartMost is how long after it was sent a start may come about.
	lateStartMost = 15 * time.Second
	// stopRetry is the time between two calls to stop the same run.
	stopRetry = 400 * time.Millisecond
	// historyKept is how long the phase of an ended job can be asked for.
	historyKept = 140 * time.Second

	// openMost bounds the occurrences of one job that are open at the same time.
	openMost = 64

	// restoredAgeMost bounds the age that a job is given by the time of day,
	// which may be wrong.
	restoredAgeMost = 5 * time.Second

	// healthFade halves what is known of how runs ended.
	healthFade = 4 * time.Second
	// ejectFailures is the least count of failures that ejects an upstream.
	ejectFailures = 3
	// ejectShare is the least fraction of failures that ejects an upstream.
	ejectShare = 0.5
	// ejectRow is the least count of jobs in a row whose runs failed that ejects an
	// upstream, and rareRow how likely such a row may be at most.
	ejectRow = 2
	rareRow  = 0.01
	// ejectAgainstPeers is how many times the fraction of all it must be.
	ejectAgainstPeers = 3
	// ejectRest and ejectRestMost bound how long an ejected upstream rests.
	ejectRest     = 1500 * time.Millisecond
	ejectRestMost = 6 * time.Second
	// ejectedMost is the largest fraction of upstreams that may be ejected.
	ejectedMost = 0.3

	// ticketMargin is kept free before the end of a ticket for the start call.
	ticketMargin = 150 * time.Millisecond
	// askedMost bounds the upstreams in one question to the advisor.
	askedMost = 60
	// askedLeast is the smallest number of upstreams worth a question.
	askedLeast = 4
	// approvedEnough is how many times the places that a gang needs its approved
	// upstreams have when empty, so that no more are asked about.
	approvedEnough = 3
	// widenAfter is the wait before more upstreams are asked about all the same, or
	// askAgainCosts times the fixed time of a decision if that is shorter.
	widenAfter = 2 * time.Second
	// askedSpare is how many more upstreams are wanted than a step needs.
	askedSpare = 1.5
	// askAgain is the wait before more upstreams are asked about for a step, or
	// askAgainCosts times the fixed time of a decision if that is shorter.
	askAgain      = 150 * time.Millisecond
	askAgainCosts = 4
	// askIdle is the wait after nobody was found to ask about for a step, which
	// looks at all upstreams.
	askIdle = 30 * time.Millisecond
	// cheapShare is the fraction of the fixed time of a decision that naming more
	// upstreams may add.
	cheapShare = 0.3
	// approvedShareAtFirst is assumed until a queue has answers.
	approvedShareAtFirst = 0.5
	// approvedShareWeight is the weight of one answer in the running mean.
	approvedShareWeight = 0.1
	// longQuestion is the time from which the largest question of a queue is a long
	// one.
	longQuestion = 200 * time.Millisecond

	// worthlessAfter is the multiple of its objective after which a job is
	// placed behind all others.
	worthlessAfter = 3
	// surelyLeft is the fraction of its estimated run time that a job is taken to
	// need. One that needs more than estimated has more time, too.
	surelyLeft = 1.0
	// renewMargin is how long before a gang is expected to start its tickets are
	// asked for, beyond the time that the advisor takes.
	renewMargin = 150 * time.Millisecond
	// freshFor is how long before a gang is expected to start its tickets are
	// kept valid.
	freshFor = 500 * time.Millisecond
	// renewTogether is how long a ticket must last not to be renewed with others
	// of the same step, so that those of a gang are valid at the same time.
	renewTogether = 800 * time.Millisecond
	// rackPatience is the fraction of its run time for which a step waits for
	// room in the rack that it runs fastest in.
	rackPatience = 1.0
	// teamBurst is how many seconds of its rate a team may submit at once.
	teamBurst = 2.0
)
