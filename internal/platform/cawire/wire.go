// Package cawire implements typed calls as JSON over HTTP between the scheduler
// and the services of the platform, and preserves the kind of an error.
package cawire

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"celeryarch.example/celeryarch/internal/base/cakind"
)

// MaxMessageBytes bounds the body of one call or answer.
const MaxMessageBytes = 16 << 20

// ErrorBody is the body of an answer that reports an error.
type ErrorBody struct {
	Kind    cakind.Kind `json:"kind"`
	Message string      `json:"message"`
}

// BodyDecoder is implemented by answers that decode their body themselves.
type BodyDecoder interface {
	DecodeBody(body []byte) error
}

// Post sends the message to the URL and decodes the answer. An error of
// KindUnavailable means that the message was not delivered, KindUnknown that
// it may have been.
func Post[In, Out any](ctx context.Context, client *http.Client, url string, in In) (Out, error) {
	var out Out
	body, err := json.Marshal(in)
	if err != nil {
		return out, cakind.Wrap(cakind.KindInternal, err, "encode call to %s", url)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return out, cakind.Wrap(cakind.KindInvalid, err, "build call to %s", url)
	}
	req.Header.Set("Content-Type", "application/json")
	return exchange(client, req, out)
}

// PostQuery sends a call with all its fields in the query of the URL. It returns
// unchanged if the answer is 204 No Content.
func PostQuery[Out any](ctx context.Context, client *http.Client, url string, unchanged Out) (Out, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return unchanged, cakind.Wrap(cakind.KindInvalid, err, "build call to %s", url)
	}
	return exchange(client, req, unchanged)
}

// exchange sends the request and decodes the answer. It returns unchanged if the
// answer is 204 No Content.
func exchange[Out any](client *http.Client, req *http.Request, unchanged Out) (Out, error) {
	url := req.URL.String()
	resp, err := client.Do(req)
	if err != nil {
		var none Out
		return none, cakind.Wrap(deliveryKind(err), err, "call %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNoContent {
		return unchanged, nil
	}
	return decode[Out](resp, url)
}

// deliveryKind returns KindUnavailable if the connection could not be opened, so
// that the call was not sent, and KindUnknown otherwise.
func deliveryKind(err error) cakind.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return cakind.KindUnavailable
	}
	return cakind.KindUnknown
}

func decode[Out any](resp *http.Response, url string) (Out, error) {
	var out Out
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxMessageBytes))
	if err != nil {
		return out, cakind.Wrap(cakind.KindUnknown, err, "read answer of %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return out, decodeFault(resp.StatusCode, body, url)
	}
	if err := decodeBody(body, &out); err != nil {
		return out, cakind.Wrap(cakind.KindUnknown, err, "decode answer of %s", url)
	}
	return out, nil
}

func decodeBody(body []byte, out any) error {
	if d, ok := out.(BodyDecoder); ok {
		return d.DecodeBody(body)
	}
	return json.Unmarshal(body, out)
}

func decodeFault(status int, body []byte, url string) error {
	var fault ErrorBody
	if err := json.Unmarshal(body, &fault); err != nil || fault.Message == "" {
		return cakind.New(cakind.KindUnknown, "answer %d of %s", status, url)
	}
	return cakind.New(fault.Kind, "%s", fault.Message)
}

// Handler returns the HTTP handler of a typed call.
func Handler[In, Out any](call func(ctx context.Context, in In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		body := http.MaxBytesReader(w, r.Body, MaxMessageBytes)
		if err := json.NewDecoder(body).Decode(&in); err != nil {
			WriteError(w, cakind.Wrap(cakind.KindInvalid, err, "decode call"))
			return
		}
		out, err := call(r.Context(), in)
		if err != nil {
			WriteError(w, err)
			return
		}
		WriteAnswer(w, out)
	}
}

// WriteAnswer writes the answer to a successful call.
func WriteAnswer[Out any](w http.ResponseWriter, out Out) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

// WriteError writes the answer to an error.
func WriteError(w http.ResponseWriter, err error) {
	kind := cakind.Of(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(cakind.ResponseTo(kind).Status)
	_ = json.NewEncoder(w).Encode(ErrorBody{Kind: kind, Message: err.Error()})
}
