package caforward

import (
	"net/http"
	"strings"
)

// HeaderKey is the header with the idempotency key of a request. It ends at
// the entry: the HTTP transport would send a request with it twice.
const HeaderKey = "Idempotency-Key"

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// entryHeaders are read by the entry and are not passed to upstreams.
var entryHeaders = []string{
	"Authorization", "Expect", "Content-Length", "Host", HeaderKey, "X-Idempotency-Key",
}

func copyRequestHeader(to, from http.Header) {
	copyHeader(to, from)
	for _, k := range entryHeaders {
		delete(to, k)
	}
	// An absent agent keeps the transport from adding its own.
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
