package caboard

import "time"

const (
	// LeaseDuration is how long an upstream keeps its runs without a lease renewal. It
	// outlasts a network failure of a zone for a few seconds and a change of the leader.
	LeaseDuration = 6500 * time.Millisecond
	// maxLease is the longest lease that an upstream grants.
	maxLease = 10 * time.Second
	// maxClockDrift is the factor by which the monotonic clock of an upstream may be
	// slow.
	maxClockDrift = 1.021
	// leaseMargin covers the rounding of leases and the time that an upstream takes to
	// end its runs.
	leaseMargin = 300 * time.Millisecond
	// maxReportAge is the age of the last report beyond which an upstream gets no new
	// work.
	maxReportAge = 2200 * time.Millisecond
	// pauseAfterRejection is how long an upstream gets no new work after it rejected a
	// start.
	pauseAfterRejection = 500 * time.Millisecond
	// stopRetryInterval is the time between two calls to stop the same run.
	stopRetryInterval = 400 * time.Millisecond
	// historyRetention is how long the phase of an ended job can be queried.
	historyRetention = 140 * time.Second

	// maxOpenOccurrences bounds the occurrences of one job that are open at the same
	// time.
	maxOpenOccurrences = 64

	// maxRestoredAge bounds the age of a restored job. The age is computed from the time
	// of day, which may be wrong.
	maxRestoredAge = 5 * time.Second

	// minTicketMargin is how long a ticket must still be valid when a start is planned, however
	// fast starts are, and maxStartLatency the longest time that a start is expected to take.
	minTicketMargin = 150 * time.Millisecond
	maxStartLatency = 10 * time.Second
	// maxTicketMarginShare is the largest fraction of its validity for which a ticket is not used.
	maxTicketMarginShare = 0.75
	// maxRequestUpstreams bounds the upstreams in one approval request.
	maxRequestUpstreams = 100
	// minRequestUpstreams is the smallest number of upstreams worth an approval request.
	minRequestUpstreams = 4
	// enoughApprovedFactor is how many times over a gang must fit on its approved
	// upstreams, when these are empty, for no approval of further upstreams to be
	// requested.
	enoughApprovedFactor = 3
	// widenInterval is the wait before approval of further upstreams is requested
	// nevertheless, or requestIntervalDecisions times the fixed time of a decision if
	// that is shorter.
	widenInterval = 2 * time.Second
	// requestSpareFactor is the ratio of the approvals requested to those that a step
	// needs.
	requestSpareFactor = 2.5
	// requestInterval is the wait before the next approval request for a step, or
	// requestIntervalDecisions times the fixed time of a decision if that is shorter.
	requestInterval          = 150 * time.Millisecond
	requestIntervalDecisions = 4
	// emptyRequestInterval is the wait after no upstream was found to request for a step.
	// The search looks at all upstreams.
	emptyRequestInterval = 30 * time.Millisecond
	// maxAddedDecisionShare is the fraction of the fixed time of a decision that naming
	// more upstreams may add.
	maxAddedDecisionShare = 0.3
	// initialApprovalRate is the approval rate of a queue before its first answers.
	initialApprovalRate = 0.5
	// approvalRateWeight is the weight of one answer in the moving average of the
	// approval rate.
	approvalRateWeight = 0.1
	// minLongRequest is the time that the largest approval request of a queue must take
	// for its requests to count as long.
	minLongRequest = 200 * time.Millisecond

	// uselessAfterObjectives is the multiple of its objective after which a job is placed
	// behind all others.
	uselessAfterObjectives = 3
	// neededEstimateShare is the fraction of its estimated run time that a job is assumed
	// to need. A job that needs more than its estimate also has a longer objective.
	neededEstimateShare = 1.0
	// ticketRenewalMargin is how long before the expected start of a gang its tickets are
	// renewed, in addition to the time that the advisor takes.
	ticketRenewalMargin = 150 * time.Millisecond
	// ticketRenewalLead is how long before the expected start of a gang its tickets are
	// kept valid.
	ticketRenewalLead = 500 * time.Millisecond
	// ticketRenewalBatchWindow is the remaining validity below which a ticket is renewed
	// along with others of the same step, so that the tickets of a gang are valid at the
	// same time.
	ticketRenewalBatchWindow = 800 * time.Millisecond
	// maxRackWaitShare is the fraction of its run time for which a step waits for room in
	// the rack where it runs fastest.
	maxRackWaitShare = 1.0
)
