package casettings

import (
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"celeryarch.example/celeryarch/internal/config/camerge"
	"celeryarch.example/celeryarch/internal/config/caproblem"
)

// checker collects the problems of settings with their positions in the
// document.
type checker struct {
	document camerge.Node
	problems caproblem.List
}

func (c *checker) reportf(path, format string, args ...any) {
	at := c.document.Find(strings.Split(path, ".")...).Position
	c.problems = append(c.problems, caproblem.Problem{At: at, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (s Settings) check(n camerge.Node) caproblem.List {
	c := &checker{document: n}
	c.requirePresent("vm", string(s.VM))
	c.requirePresent("zone", string(s.Zone))
	c.checkAddresses(s.Addresses)
	for i, seed := range s.Seeds {
		c.checkAddress(fmt.Sprintf("seeds.%d", i), seed)
	}
	c.checkURL("platform.log", s.Platform.Log)
	c.checkURL("platform.vm_list", s.Platform.VMList)
	c.checkTLS(s.TLS)
	c.checkTimeouts(s.Timeouts)
	c.checkLimits(s.Limits)
	if s.Processors < 0 {
		c.reportf("processors", "must not be negative; 0 means all of the VM")
	}
	return c.problems
}

func (c *checker) requirePresent(path, value string) {
	if value == "" {
		c.reportf(path, "is missing")
	}
}

func (c *checker) checkAddresses(a Addresses) {
	c.checkAddress("addresses.api", a.API)
	c.checkAddress("addresses.peer", a.Peer)
	c.checkAddress("addresses.operators", a.Operators)
	c.requireDistinct("addresses.peer", a.Peer, "addresses.api", a.API)
	c.requireDistinct("addresses.operators", a.Operators, "addresses.api", a.API)
	c.requireDistinct("addresses.operators", a.Operators, "addresses.peer", a.Peer)
}

func (c *checker) requireDistinct(path, value, otherPath, other string) {
	if value != "" && value == other && !strings.HasSuffix(value, ":0") {
		c.reportf(path, "%s is already used by %s", value, otherPath)
	}
}

func (c *checker) checkAddress(path, value string) {
	if value == "" {
		c.reportf(path, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		c.reportf(path, "must be an IP address and a port, such as \"127.0.0.1:7100\", not %q", value)
		return
	}
	if net.ParseIP(host) == nil {
		c.reportf(path, "must have an IP address instead of %q", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		c.reportf(path, "port %q is not between 0 and 65535", port)
	}
}

func (c *checker) checkURL(path, value string) {
	if value == "" {
		c.reportf(path, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.reportf(path, "must be a URL such as \"http://127.0.0.1:7001\", not %q", value)
	}
}

func (c *checker) checkTLS(t TLS) {
	hasFiles := t.Certificate != "" || t.Key != "" || t.CA != ""
	if t.Insecure && hasFiles {
		c.reportf("tls.insecure", "contradicts the TLS files; remove one or the other")
		return
	}
	if t.Insecure {
		return
	}
	if !hasFiles {
		c.reportf("tls", "certificate, key and ca are missing; to run without TLS between entries, set \"insecure\": true")
		return
	}
	c.requirePresent("tls.certificate", t.Certificate)
	c.requirePresent("tls.key", t.Key)
	c.requirePresent("tls.ca", t.CA)
}

func (c *checker) checkTimeouts(t Timeouts) {
	c.requirePositive("timeouts.header", t.Header)
	c.requirePositive("timeouts.body", t.Body)
	c.requirePositive("timeouts.request", t.Request)
	c.requirePositive("timeouts.idle", t.Idle)
	c.requirePositive("timeouts.peer", t.Peer)
	c.requirePositive("timeouts.platform", t.Platform)
	c.requirePositive("timeouts.drain", t.Drain)
	if t.Drain < t.Request {
		c.reportf("timeouts.drain", "%s is shorter than timeouts.request, %s: a drain would interrupt requests", t.Drain, t.Request)
	}
}

func (c *checker) requirePositive(path string, d time.Duration) {
	if d <= 0 {
		c.reportf(path, "must be more than 0s")
	}
}

func (c *checker) checkLimits(l Limits) {
	if l.Body <= 0 {
		c.reportf("limits.body", "must be more than 0B")
	}
	if l.Header <= 0 {
		c.reportf("limits.header", "must be more than 0B")
	}
	if l.Connections <= 0 {
		c.reportf("limits.connections", "must be more than 0")
	}
}
