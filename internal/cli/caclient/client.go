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

// maxResponseSize bounds the response body, in bytes.
const maxResponseSize = 64 << 20

// Client calls one entry with one key or queue.
type Client struct {
	// BaseURL is the URL of the entry, such as "http://127.0.0.1:7100".
	BaseURL string
	// Key is sent with each call unless it is empty.
	Key string
	// Queue names an open queue, for calls without a key.
	Queue string
	// HTTPClient is the client to use. The default is http.DefaultClient.
	HTTPClient *http.Client
}

// Submit submits a job. Submissions with the same idempotency key create
// one job. An empty key is not sent.
func (c Client) Submit(ctx context.Context, s caapi.SubmitRequest, idempotencyKey string) (cawork.JobID, error) {
	s.Queue = c.Queue
	body, err := json.Marshal(s)
	if err != nil {
		return "", cakind.Wrap(cakind.KindInvalid, err, "cannot encode the submission")
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if idempotencyKey != "" {
		header.Set(caapi.HeaderIdempotencyKey, idempotencyKey)
	}
	var answer caapi.SubmitResponse
	err = c.doJSON(ctx, apiRequest{method: http.MethodPost, path: caapi.PathJobs, header: header, body: body}, &answer)
	return answer.JobID, err
}

// Get returns the state of a job. It waits for the final outcome up to the
// given time; with zero it returns at once.
func (c Client) Get(ctx context.Context, id cawork.JobID, wait time.Duration) (caapi.JobStatus, error) {
	query := c.queueQuery()
	if wait > 0 {
		query.Set("wait", wait.String())
	}
	var answer caapi.JobStatus
	err := c.doJSON(ctx, apiRequest{method: http.MethodGet, path: jobPath(id), query: query}, &answer)
	return answer, err
}

// Cancel cancels a job.
func (c Client) Cancel(ctx context.Context, id cawork.JobID) error {
	_, err := c.do(ctx, apiRequest{method: http.MethodDelete, path: jobPath(id), query: c.queueQuery()})
	return err
}

// RequestOptions are the optional properties of a request. Zero fields are not
// sent.
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

// Request runs a request and returns the complete response of the upstream.
func (c Client) Request(ctx context.Context, body []byte, o RequestOptions) ([]byte, error) {
	header := o.header()
	if c.Queue != "" {
		header.Set(caapi.HeaderQueue, c.Queue)
	}
	return c.do(ctx, apiRequest{method: http.MethodPost, path: caapi.PathRequests, header: header, body: body})
}

// Status returns the state of the entry as JSON.
func (c Client) Status(ctx context.Context) (json.RawMessage, error) {
	body, err := c.do(ctx, apiRequest{method: http.MethodGet, path: caapi.PathStatus})
	if err == nil && !json.Valid(body) {
		return nil, cakind.New(cakind.KindInternal, "the status of %s is not JSON", c.BaseURL)
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

// apiRequest is a request to the API of an entry.
type apiRequest struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

func (c Client) doJSON(ctx context.Context, r apiRequest, result any) error {
	body, err := c.do(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, result); err != nil {
		return cakind.Wrap(cakind.KindUnknown, err, "cannot decode the response of %s", c.BaseURL)
	}
	return nil
}

func (c Client) do(ctx context.Context, r apiRequest) ([]byte, error) {
	request, err := c.newHTTPRequest(ctx, r)
	if err != nil {
		return nil, err
	}
	client := c.HTTPClient
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, c.transportError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseSize+1))
	switch {
	case err != nil:
		return nil, cakind.Wrap(cakind.KindUnknown, err, "the response of %s was cut off", c.BaseURL)
	case len(body) > maxResponseSize:
		return nil, cakind.New(cakind.KindUnknown, "the response of %s has more than %d bytes", c.BaseURL, maxResponseSize)
	case response.StatusCode >= http.StatusBadRequest:
		return nil, c.responseError(response, body)
	}
	return body, nil
}

func (c Client) newHTTPRequest(ctx context.Context, r apiRequest) (*http.Request, error) {
	target := strings.TrimSuffix(c.BaseURL, "/") + r.path
	if len(r.query) > 0 {
		target += "?" + r.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, r.method, target, bytes.NewReader(r.body))
	if err != nil {
		return nil, cakind.New(cakind.KindInvalid, "%q is not the URL of an entry", c.BaseURL)
	}
	for name, values := range r.header {
		request.Header[name] = values
	}
	if c.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.Key)
	}
	return request, nil
}

// transportError distinguishes a call that was never sent, because the connection
// failed, from one whose response was lost.
func (c Client) transportError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return cakind.Wrap(cakind.KindUnavailable, err, "cannot connect to an entry at %s", c.BaseURL)
	}
	return cakind.Wrap(cakind.KindUnknown, err, "the response of %s was lost", c.BaseURL)
}

// responseError decodes the error that the entry reports.
func (c Client) responseError(r *http.Response, body []byte) error {
	var errorBody cakind.ErrorBody
	if err := json.Unmarshal(body, &errorBody); err != nil || errorBody.Message == "" {
		return cakind.New(cakind.KindUnknown, "%s responded with status %d", c.BaseURL, r.StatusCode)
	}
	apiErr := cakind.New(errorBody.Kind, "%s", errorBody.Message)
	if seconds, err := strconv.Atoi(r.Header.Get("Retry-After")); err == nil {
		apiErr = apiErr.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return apiErr
}
