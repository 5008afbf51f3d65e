// Package caclient calls the HTTP API of an entry.
package caclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/node/caapi"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
)

// maxAnswerSize is the largest answer that is read, in bytes.
const maxAnswerSize = 64 << 20

// Client calls one entry with one key or queue.
type Client struct {
	// Base is the URL of the entry, such as "http://127.0.0.1:7100".
	Base string
	// Key is presented with each call; it is left out when empty.
	Key string
	// Queue names a queue open to all, for calls without a key.
	Queue string
	// HTTP is the client to use, nil stands for http.DefaultClient.
	HTTP *http.Client
}

// Submit submits a job. Two submissions with the same idempotency key are one
// job; an empty key is not sent.
func (c Client) Submit(ctx context.Context, s caapi.SubmitRequest, idempotencyKey string) (cawork.JobID, error) {
	s.Queue = c.Queue
	body, err := json.Marshal(s)
	if err != nil {
		return "", cakind.Wrap(cakind.KindInvalid, err, "the submission cannot be encoded")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if idempotencyKey != "" {
		header.Set(caapi.HeaderIdempotencyKey, idempotencyKey)
	}
	var answer caapi.SubmitAnswer
	err = c.callJSON(ctx, call{method: http.MethodPost, path: caapi.PathJobs, header: header, body: body}, &answer)
	return answer.JobID, err
}

// Get returns the state of a job. It waits up to the given time for the final
// outcome; zero does not wait.
func (c Client) Get(ctx context.Context, id cawork.JobID, wait time.Duration) (caapi.JobAnswer, error) {
	query := c.queueQuery()
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	var answer caapi.JobAnswer
	err := c.callJSON(ctx, call{method: http.MethodGet, path: jobPath(id), query: query}, &answer)
	return answer, err
}

// Cancel cancels a job.
func (c Client) Cancel(ctx context.Context, id cawork.JobID) error {
	_, err := c.call(ctx, call{method: http.MethodDelete, path: jobPath(id), query: c.queueQuery()})
	return err
}

// RequestOptions tell how a request may be run. Zero fields are not sent.
type RequestOptions struct {
	IdempotencyKey string
	Idempotent     bool
	Deadline       time.Duration
}

func (o RequestOptions) header() http.Header {
	header := http.Header{}
	if o.IdempotencyKey != "" {
		header.Set(caapi.HeaderIdempotencyKey, o.IdempotencyKey)
	}
	if o.Idempotent {
		header.Set(caplatform.HeaderIdempotent, "true")
	}
	if o.Deadline > 0 {
		header.Set(caplatform.HeaderDeadline, strconv.FormatInt(o.Deadline.Milliseconds(), 10))
	}
	return header
}

// Request runs a request and returns the whole answer of the upstream.
func (c Client) Request(ctx context.Context, body []byte, o RequestOptions) ([]byte, error) {
	header := o.header()
	if c.Queue != "" {
		header.Set(caapi.HeaderQueue, c.Queue)
	}
	return c.call(ctx, call{method: http.MethodPost, path: caapi.PathRequests, header: header, body: body})
}

// Status returns the state of the entry as JSON.
func (c Client) Status(ctx context.Context) (json.RawMessage, error) {
	body, err := c.call(ctx, call{method: http.MethodGet, path: caapi.PathStatus})
	if err == nil && !json.Valid(body) {
		return nil, cakind.New(cakind.KindInternal, "the status of %s is not JSON", c.Base)
	}
	return body, err
}

func jobPath(id cawork.JobID) string { return caapi.PathJobs + "/" + url.PathEscape(string(id)) }

func (c Client) queueQuery() url.Values {
	query := url.Values{}
	if c.Queue != "" {
		query.Set("queue", c.Queue)
	}
	return query
}

// call is one call of the API.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

func (c Client) callJSON(ctx context.Context, l call, answer any) error {
	body, err := c.call(ctx, l)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return cakind.Wrap(cakind.KindUnknown, err, "the answer of %s cannot be read", c.Base)
	}
	return nil
}

func (c Client) call(ctx context.Context, l call) ([]byte, error) {
	request, err := c.request(ctx, l)
	if err != nil {
		return nil, err
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, c.transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize+1))
	switch {
	case err != nil:
		return nil, cakind.Wrap(cakind.KindUnknown, err, "the answer of %s was cut off", c.Base)
	case len(body) > maxAnswerSize:
		return nil, cakind.New(cakind.KindUnknown, "the answer of %s has more than %d bytes", c.Base, maxAnswerSize)
	case response.StatusCode >= http.StatusBadRequest:
		return nil, c.refusal(response, body)
	}
	return body, nil
}

func (c Client) request(ctx context.Context, l call) (*http.Request, error) {
	target := strings.TrimSuffix(c.Base, "/") + l.path
	if len(l.query) > 0 {
		target += "?" + l.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, l.method, target, bytes.NewReader(l.body))
	if err != nil {
		return nil, cakind.New(cakind.KindInvalid, "%q is not the URL of an entry", c.Base)
	}
	for name, values := range l.header {
		request.Header[name] = values
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	return request, nil
}

// transportError tells a call that never left from one whose answer was lost.
func (c Client) transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return cakind.Wrap(cakind.KindUnavailable, err, "no entry answers at %s", c.Base)
	}
	return cakind.Wrap(cakind.KindUnknown, err, "the answer of %s was lost", c.Base)
}

// refusal returns the error that the entry reports.
func (c Client) refusal(r *http.Response, body []byte) error {
	var answer cakind.ErrorBody
	if err := json.Unmarshal(body, &answer); err != nil || answer.Message == "" {
		return cakind.New(cakind.KindUnknown, "%s answered with status %d", c.Base, r.StatusCode)
	}
	refusal := cakind.New(answer.Kind, "%s", answer.Message)
	if seconds, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil {
		refusal = refusal.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return refusal
}
