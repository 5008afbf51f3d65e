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

// checker collects the problems of settings at their places in the document.
type checker struct {
	document camerge.Node
	problems caproblem.List
}

func (c *checker) refuse(path, format string, args ...any) {
	at := c.document.Find(strings.Split(path, ".")...).At
	c.problems = append(c.problems, caproblem.Problem{At: at, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (s Settings) check(n camerge.Node) caproblem.List {
	c := &checker{document: n}
	c.present("vm", string(s.VM))
	c.present("zone", string(s.Zone))
	c.addresses(s.Addresses)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds.%d", i), seed)
	}
	c.url("platform.log", s.Platform.Log)
	c.url("platform.vm_list", s.Platform.VMList)
	c.tls(s.TLS)
	c.timeouts(s.Timeouts)
	c.limits(s.Limits)
	if s.Processors < 0 {
		c.refuse("processors", "must not be negative; 0 means all of the VM")
	}
	return c.problems
}

func (c *checker) present(path, value string) {
	if value == "" {
		c.refuse(path, "is missing")
	}
}

func (c *checker) addresses(a Addresses) {
	c.address("addresses.api", a.API)
	c.address("addresses.peer", a.Peer)
	c.address("addresses.operators", a.Operators)
	c.distinct("addresses.peer", a.Peer, "addresses.api", a.API)
	c.distinct("addresses.operators", a.Operators, "addresses.api", a.API)
	c.distinct("addresses.operators", a.Operators, "addresses.peer", a.Peer)
}

func (c *checker) distinct(path, value, otherPath, other string) {
	if value != "" && value == other && !strings.HasSuffix(value, ":0") {
		c.refuse(path, "%s is taken by %s", value, otherPath)
	}
}

func (c *checker) address(path, value string) {
	if value == "" {
		c.refuse(path, "is missing")
		return
	}
	host, port, err := net.SplitHostPort(value)
	if err != nil || port == "" {
		c.refuse(path, "must be an IP number and a port, such as \"127.0.0.1:7100\", not %q", value)
		return
	}
	if net.ParseIP(host) == nil {
		c.refuse(path, "must have an IP number in place of %q", host)
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		c.refuse(path, "port %q is not between 0 and 65535", port)
	}
}

func (c *checker) url(path, value string) {
	if value == "" {
		c.refuse(path, "is missing")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.refuse(path, "must be a URL such as \"http://127.0.0.1:7001\", not %q", value)
	}
}

func (c *checker) tls(t TLS) {
	files := t.Certificate != "" || t.Key != "" || t.CA != ""
	if t.Insecure && files {
		c.refuse("tls.insecure", "contradicts the TLS files; remove one or the other")
		return
	}
	if t.Insecure {
		return
	}
	if !files {
		c.refuse("tls", "certificate, key and ca are missing; to go without TLS between entries set \"insecure\": true")
		return
	}
	c.present("tls.certificate", t.Certificate)
	c.present("tls.key", t.Key)
	c.present("tls.ca", t.CA)
}

func (c *checker) timeouts(t Timeouts) {
	c.positive("timeouts.header", t.Header)
	c.positive("timeouts.body", t.Body)
	c.positive("timeouts.request", t.Request)
	c.positive("timeouts.idle", t.Idle)
	c.positive("timeouts.peer", t.Peer)
	c.positive("timeouts.platform", t.Platform)
	c.positive("timeouts.drain", t.Drain)
	if t.Drain < t.Request {
		c.refuse("timeouts.drain", "%s is shorter than timeouts.request, %s: a drain would cut requests off", t.Drain, t.Request)
	}
}

func (c *checker) positive(path string, d time.Duration) {
	if d <= 0 {
		c.refuse(path, "must be more than 0s")
	}
}

func (c *checker) limits(l Limits) {
	if l.Body <= 0 {
		c.refuse("limits.body", "must be more than 0B")
	}
	if l.Header <= 0 {
		c.refuse("limits.header", "must be more than 0B")
	}
	if l.Connections <= 0 {
		c.refuse("limits.connections", "must be more than 0")
	}
}
