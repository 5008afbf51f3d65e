package cacommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/google/uuid"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/caclient"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/node/caapi"
)

func newClient(o caoption.API) caclient.Client {
	return caclient.Client{BaseURL: o.EntryURL, Key: o.Key, Queue: o.Queue}
}

func (c command) status(o caoption.Status) error {
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout)
	defer cancel()
	answer, err := caclient.Client{BaseURL: o.Operators.OperatorsURL}.Status(ctx)
	if err != nil {
		return err
	}
	if c.options.JSON {
		c.printJSON(answer)
		return nil
	}
	c.printf("%s", statusText(answer))
	return nil
}

func (c command) submit(o caoption.Submit) error {
	payload, err := readPayload(o.Payload)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout+o.Wait)
	defer cancel()
	if cawork.WorkKind(o.Kind) == cawork.WorkKindLookup {
		return c.runRequest(ctx, o, payload)
	}
	if len(payload) > 0 && !json.Valid(payload) {
		return cakind.New(cakind.KindInvalid, "the payload of a job must be JSON")
	}
	id, err := c.submitWithIdempotencyKey(ctx, o, payload)
	if err != nil {
		return err
	}
	if o.Wait == 0 {
		c.print(caapi.SubmitResponse{JobID: id}, string(id))
		return nil
	}
	answer, err := newClient(o.API).Await(ctx, id, o.Wait)
	if err != nil {
		return cakind.Wrap(cakind.Of(err), err, "job %s is accepted, but its outcome is unknown", id)
	}
	return c.reportAwaitedJob(answer)
}

// submitWithIdempotencyKey submits a job under the given idempotency key, or
// under a random one if none is given.
func (c command) submitWithIdempotencyKey(ctx context.Context, o caoption.Submit, payload []byte) (cawork.JobID, error) {
	key := o.IdempotencyKey
	if key == "" {
		key = uuid.NewString()
	}
	id, err := newClient(o.API).SubmitWithRetry(ctx, newSubmitRequest(o, payload), key, o.Timeout)
	if cakind.Of(err) == cakind.KindUnknown {
		err = cakind.Wrap(cakind.KindUnknown, err, "the job may be accepted; submit it again with --idempotency-key=%s", key)
	}
	return id, err
}

func (c command) runRequest(ctx context.Context, o caoption.Submit, body []byte) error {
	answer, err := newClient(o.API).Request(ctx, body, caclient.RequestOptions{
		IdempotencyKey: o.IdempotencyKey, Idempotent: o.Idempotent, Deadline: o.Deadline,
	})
	if err != nil {
		return err
	}
	_, err = c.Stdout.Write(answer)
	return err
}

// readPayload returns the payload argument. If it has the form @FILE, it reads
// the file.
func readPayload(arg string) ([]byte, error) {
	file, ok := strings.CutPrefix(arg, "@")
	if !ok {
		return []byte(arg), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInvalid, err, "cannot read the payload")
	}
	return bytes.TrimSpace(data), nil
}

func newSubmitRequest(o caoption.Submit, payload []byte) caapi.SubmitRequest {
	return caapi.SubmitRequest{
		Kind:        cawork.WorkKind(o.Kind),
		Tasks:       o.Tasks,
		Size:        o.Size.Resources(),
		RunTime:     caapi.Duration(o.RunTime),
		Deadline:    caapi.Duration(o.Deadline),
		Urgent:      o.Urgent,
		Idempotent:  o.Idempotent,
		MaxAttempts: o.MaxAttempts,
		Constraints: cawork.Constraints{
			Zone:            cawork.ZoneName(o.Zone),
			Rack:            cawork.RackName(o.Rack),
			AcceleratorKind: o.AcceleratorKind,
		},
		Payload: payload,
	}
}

func (c command) get(o caoption.Get) error {
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout+o.Wait)
	defer cancel()
	id := cawork.JobID(o.Args.ID)
	if o.Wait > 0 {
		answer, err := newClient(o.API).Await(ctx, id, o.Wait)
		if err != nil {
			return err
		}
		return c.reportAwaitedJob(answer)
	}
	answer, err := newClient(o.API).Get(ctx, id, 0)
	if err != nil {
		return err
	}
	return c.reportCurrentJob(answer)
}

func (c command) cancel(o caoption.Cancel) error {
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout)
	defer cancel()
	id := cawork.JobID(o.Args.ID)
	if err := newClient(o.API).Cancel(ctx, id); err != nil {
		return err
	}
	c.print(caapi.SubmitResponse{JobID: id}, fmt.Sprintf("job %s is canceled", id))
	return nil
}

// reportAwaitedJob prints a job after a wait. Any outcome other than done is an
// error, also a pending one, so that the exit code shows it.
func (c command) reportAwaitedJob(j caapi.JobStatus) error {
	c.printJob(j)
	return newOutcomeError(j)
}

// reportCurrentJob prints a job without a wait. A pending job is not an error.
func (c command) reportCurrentJob(j caapi.JobStatus) error {
	c.printJob(j)
	if j.Outcome == cawork.OutcomePending {
		return nil
	}
	return newOutcomeError(j)
}

func newOutcomeError(j caapi.JobStatus) error {
	code := exitCodesByOutcome[j.Outcome]
	if code == ExitOK {
		return nil
	}
	return outcomeError{j.JobID, code}
}

func (c command) printJob(j caapi.JobStatus) {
	lines := []string{fmt.Sprintf("job %s of team %s: %s", j.JobID, j.Team, j.Outcome)}
	if j.Reason != "" {
		lines = append(lines, "reason: "+j.Reason)
	}
	for _, t := range j.Tasks {
		lines = append(lines, taskLine(t))
	}
	c.print(j, lines...)
}

func taskLine(t caapi.TaskStatus) string {
	line := fmt.Sprintf("  task %d: %s after %d attempts", t.Index, t.Outcome, t.Attempts)
	if t.Running {
		line += fmt.Sprintf(", running on %s", t.Upstream)
	}
	if t.Result != "" {
		line += ": " + t.Result
	}
	return line
}
