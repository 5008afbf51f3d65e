package caforward

import (
	"net/http"
	"strings"
)

// HeaderIdempotencyKey is the header with the idempotency key of a request. It is not
// forwarded, because the HTTP transport treats a request with this header as
// replayable and could send it twice.
const HeaderIdempotencyKey = "Idempotency-Key"

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// entryHeaders are handled by the entry and are not forwarded to upstreams.
var entryHeaders = []string{
	"Authorization", "Expect", "Content-Length", "Host", HeaderIdempotencyKey, "X-Idempotency-Key",
}

func copyRequestHeader(to, from http.Header) {
	copyHeader(to, from)
	for _, k := range entryHeaders {
		delete(to, k)
	}
	// A nil value keeps the transport from adding its default User-Agent.
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = nil
	}
}

func copyHeader(to, from http.Header) {
	for k, values := range from {
		to[k] = values
	}
	for _, list := range from["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			to.Del(strings.TrimSpace(name))
		}
	}
	for _, k := range hopHeaders {
		delete(to, k)
	}
}
