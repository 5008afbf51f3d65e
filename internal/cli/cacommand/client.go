package cacommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cli/caclient"
	"celeryarch.example/celeryarch/internal/cli/caoption"
	"celeryarch.example/celeryarch/internal/node/caapi"
)

func client(o caoption.API) caclient.Client {
	return caclient.Client{Base: o.Entry, Key: o.Key, Queue: o.Queue}
}

func (c command) status(o caoption.Status) error {
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout)
	defer cancel()
	answer, err := client(o.API).Status(ctx)
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
	payload, err := payloadOf(o.Payload)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout+o.Wait)
	defer cancel()
	if cawork.WorkKind(o.Kind) == cawork.WorkKindLookup {
		return c.request(ctx, o, payload)
	}
	if len(payload) > 0 && !json.Valid(payload) {
		return cakind.New(cakind.KindInvalid, "the payload of a job must be JSON")
	}
	id, err := client(o.API).Submit(ctx, submission(o, payload), o.IdempotencyKey)
	if err != nil {
		return err
	}
	if o.Wait == 0 {
		c.print(caapi.SubmitAnswer{JobID: id}, string(id))
		return nil
	}
	answer, err := client(o.API).Get(ctx, id, o.Wait)
	if err != nil {
		return err
	}
	return c.reportJob(answer)
}

func (c command) request(ctx context.Context, o caoption.Submit, body []byte) error {
	answer, err := client(o.API).Request(ctx, body, caclient.RequestOptions{
		IdempotencyKey: o.IdempotencyKey, Idempotent: o.Idempotent, Deadline: o.Deadline,
	})
	if err != nil {
		return err
	}
	_, err = c.Stdout.Write(answer)
	return err
}

// payloadOf reads the payload from a file when it is given as @FILE.
func payloadOf(text string) ([]byte, error) {
	file, ok := strings.CutPrefix(text, "@")
	if !ok {
		return []byte(text), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, cakind.Wrap(cakind.KindInvalid, err, "the payload cannot be read")
	}
	return bytes.TrimSpace(data), nil
}

func submission(o caoption.Submit, payload []byte) caapi.SubmitRequest {
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
	answer, err := client(o.API).Get(ctx, cawork.JobID(o.Args.ID), o.Wait)
	if err != nil {
		return err
	}
	return c.reportJob(answer)
}

func (c command) cancel(o caoption.Cancel) error {
	ctx, cancel := context.WithTimeout(c.ctx, o.Timeout)
	defer cancel()
	id := cawork.JobID(o.Args.ID)
	if err := client(o.API).Cancel(ctx, id); err != nil {
		return err
	}
	c.print(caapi.SubmitAnswer{JobID: id}, fmt.Sprintf("job %s is canceled", id))
	return nil
}

// reportJob prints a job. A final outcome other than done is an error, so
// that the exit code tells it.
func (c command) reportJob(j caapi.JobAnswer) error {
	lines := []string{fmt.Sprintf("job %s of team %s: %s", j.JobID, j.Team, j.Outcome)}
	if j.Reason != "" {
		lines = append(lines, "reason: "+j.Reason)
	}
	for _, t := range j.Tasks {
		lines = append(lines, taskLine(t))
	}
	c.print(j, lines...)
	return outcomeError(j)
}

func taskLine(t caapi.TaskAnswer) string {
	line := fmt.Sprintf("  task %d: %s after %d attempts", t.Index, t.Outcome, t.Attempts)
	if t.Running {
		line += fmt.Sprintf(", running on %s", t.Upstream)
	}
	if t.Result != "" {
		line += ": " + t.Result
	}
	return line
}

var outcomeKinds = map[cawork.Outcome]cakind.Kind{
	cawork.OutcomeFailed:   cakind.KindFailed,
	cawork.OutcomeNotRun:   cakind.KindDeadlineBeforeStart,
	cawork.OutcomeUnknown:  cakind.KindUnknown,
	cawork.OutcomeCanceled: cakind.KindCanceled,
}

func outcomeError(j caapi.JobAnswer) error {
	kind, ok := outcomeKinds[j.Outcome]
	if !ok {
		return nil
	}
	return silent{cakind.New(kind, "job %s: %s", j.JobID, j.Outcome)}
}

// silent is an error that was reported already.
type silent struct{ cause error }

// Error implements error.
func (s silent) Error() string { return s.cause.Error() }

// Unwrap returns the cause.
func (s silent) Unwrap() error { return s.cause }
