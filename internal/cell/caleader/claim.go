package caleader

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/calayout"
	"celeryarch.example/celeryarch/internal/cell/castate"
)

const (
	// claimKey is the key of the record that names the leader.
	claimKey = "leader"
	// layoutKey is the key of the record that divides the cell.
	layoutKey = "layout"
	// beforeLayoutKey sorts before layoutKey and claimKey, and after the keys of
	// jobs.
	beforeLayoutKey = "layou"
	// jobPrefix stands before the id of a job in its key.
	jobPrefix = "job/"
	// loadRetry is the wait before a failed read of the log is repeated.
	loadRetry = 50 * time.Millisecond
)

// Pause waits for the time, unless the context ends first.
type Pause func(context.Context, time.Duration) error

// Claim names the leader of a cell. Each batch of records begins with it.
type Claim struct {
	VM      cawork.VMID `cbor:"1,keyasint"`
	Address string      `cbor:"2,keyasint"`
	// Token is the fencing token: the offset of the first record of the claim,
	// counted from 1. It is zero in that record itself.
	Token int64 `cbor:"3,keyasint,omitempty"`
	// Batch numbers the batches of a leader, from 0 for the claim.
	Batch int64 `cbor:"4,keyasint,omitempty"`
	// Nonce tells claims of one VM apart.
	Nonce int64 `cbor:"5,keyasint"`
	// Released is set when the leader gave the cell up.
	Released bool `cbor:"6,keyasint,omitempty"`
}

// entry returns the record of the claim.
func (c Claim) entry() (Entry, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return Entry{}, cakind.Wrap(cakind.KindInternal, err, "encode claim")
	}
	return Entry{Key: claimKey, Value: b}, nil
}

// Standing is what the log of a shard tells about its leader.
type Standing struct {
	// Claim is the one that stands, zero when there is none that can be read.
	Claim Claim
	// Layout is the division of the cell, in the log of the first shard.
	Layout calayout.Layout
	// End is the end of the log.
	End int64
}

// ReadStanding reads the claim and the layout that stand in the log.
func ReadStanding(ctx context.Context, log Log) (Standing, error) {
	page, err := log.Newest(ctx, beforeLayoutKey)
	if err != nil {
		return Standing{}, err
	}
	s := Standing{End: page.End}
	for _, e := range page.Entries {
		switch e.Key {
		case claimKey:
			s.Claim = decodeClaim(e)
		case layoutKey:
			if l, err := calayout.Decode(e.Value); err == nil {
				s.Layout = l
			}
		}
	}
	return s, nil
}

// decodeClaim returns the claim of a record, zero if it can not be read.
func decodeClaim(e Entry) Claim {
	var c Claim
	if err := cbor.Unmarshal(e.Value, &c); err != nil {
		return Claim{}
	}
	if c.Token == 0 {
		c.Token = e.Offset + 1
	}
	return c
}

// Take claims the cell if its log still ends at the offset. KindConflict means
// that it does not.
func Take(ctx context.Context, log Log, c Claim, at int64, pause Pause) (token, end int64, err error) {
	w := writer{log: log, claim: c, end: at, pause: pause}
	if err := w.append(ctx, nil); err != nil {
		return 0, 0, err
	}
	return at + 1, w.end, nil
}

// loadJobs reads the records of all jobs. The log must not change meanwhile,
// which the claim sees to. Records that can not be read are counted.
func loadJobs(ctx context.Context, log Log, wait Pause) (jobs []*castate.Job, unreadable int, err error) {
	after := ""
	for {
		page, err := log.Newest(ctx, after)
		if err != nil {
			if ctx.Err() != nil {
				return nil, 0, err
			}
			if err := wait(ctx, loadRetry); err != nil {
				return nil, 0, err
			}
			continue
		}
		for _, e := range page.Entries {
			if !strings.HasPrefix(e.Key, jobPrefix) || len(e.Value) == 0 {
				continue
			}
			j, err := castate.DecodeJob(e.Value)
			if err != nil {
				unreadable++
				continue
			}
			jobs = append(jobs, j)
		}
		if page.Next == "" {
			return jobs, unreadable, nil
		}
		after = page.Next
	}
}
