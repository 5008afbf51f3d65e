package cahttp

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"celeryarch.example/celeryarch/internal/base/cakind"
	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/platform/caplatform"
	"celeryarch.example/celeryarch/internal/platform/cawire"
)

// Heartbeat implements caplatform.Agent. The request stays the same until the
// sequence changes, so that header compression reduces it to a few bytes:
//
//	POST /agent/v1/heartbeat?holder=e1&epoch=7&ttl_ns=3000000000&task_ttl_ns=10000000000&since=12
//	204 without content: the lease is renewed and nothing changed
func (a *Agent) Heartbeat(ctx context.Context, h caplatform.Heartbeat) (caplatform.HeartbeatResult, error) {
	query := fmt.Sprintf("?holder=%s&epoch=%d&ttl_ns=%d&task_ttl_ns=%d&since=%d",
		url.QueryEscape(string(h.Holder)), h.Epoch, h.TTL, h.TaskTTL, h.Since)
	unchanged := caplatform.HeartbeatResult{
		Ownership: caplatform.Ownership{Holder: h.Holder, Epoch: h.Epoch, Remaining: h.TTL},
		Sequence:  h.Since,
	}
	return cawire.PostQuery(ctx, a.client, a.base+PathHeartbeat+query, unchanged)
}

// serveHeartbeat returns the handler of heartbeats to the agent.
func serveHeartbeat(a caplatform.Agent) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		h, err := parseHeartbeat(r.URL.Query())
		if err != nil {
			cawire.WriteError(w, err)
			return
		}
		result, err := a.Heartbeat(r.Context(), h)
		switch {
		case err != nil:
			cawire.WriteError(w, err)
		case len(result.Changed) == 0 && result.Sequence == h.Since && result.FormerRequests == 0:
			w.WriteHeader(http.StatusNoContent)
		default:
			cawire.WriteAnswer(w, result)
		}
	}
}

func parseHeartbeat(query url.Values) (caplatform.Heartbeat, error) {
	numbers := map[string]int64{"epoch": 0, "ttl_ns": 0, "task_ttl_ns": 0, "since": 0}
	for name := range numbers {
		n, err := strconv.ParseInt(query.Get(name), 10, 64)
		if err != nil {
			return caplatform.Heartbeat{}, cakind.Wrap(cakind.KindInvalid, err, "%s of a heartbeat", name)
		}
		numbers[name] = n
	}
	return caplatform.Heartbeat{
		Holder:  cawork.VMID(query.Get("holder")),
		Epoch:   caplatform.Epoch(numbers["epoch"]),
		TTL:     time.Duration(numbers["ttl_ns"]),
		TaskTTL: time.Duration(numbers["task_ttl_ns"]),
		Since:   numbers["since"],
	}, nil
}
