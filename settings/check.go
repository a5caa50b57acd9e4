package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// checker checks a decoded settings file and collects all faults.
type checker struct {
	file   string
	tree   *ast.File
	faults []error
}

func (c *checker) addf(path, format string, args ...any) {
	c.faults = append(c.faults, &Fault{
		File:    c.file,
		Line:    lineOf(c.tree, path),
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

func (c *checker) check(s Spec) {
	c.requireValue("name", s.Name)
	c.requireValue("dataCentre", s.DataCentre)
	c.checkListen(s.Listen)
	c.checkPlatform(s.Platform)
	c.checkPeers(s)
	c.checkCertificates(s)
	c.checkLimits(s.Limits)
	c.requirePositive("membership.heartbeat", s.Membership.Heartbeat)
	c.requirePositive("keys.freshness", s.Keys.Freshness)
	c.requireOneOf("keys.whenCutOff", s.Keys.WhenUnreachable, WhenUnreachableRefuse, WhenUnreachableBounded)
	c.requirePositive("keys.term", s.Keys.BoundedFreshness)
	c.requirePositive("allotments.term", s.Allotments.LeaseDuration)
	if s.Keys.WhenUnreachable == WhenUnreachableBounded && s.Allotments.LeaseDuration < s.Keys.BoundedFreshness {
		c.addf("allotments.term", "%s is shorter than keys.term %s, so that keyed work would end before", s.Allotments.LeaseDuration, s.Keys.BoundedFreshness)
	}
	c.requirePositive("waves.notice", s.Waves.Notice)
	c.requirePositive("waves.drainLimit", s.Waves.DrainLimit)
	c.requirePositive("waves.lease", s.Waves.LeaseDuration)
	c.requirePositive("waves.interval", s.Waves.Interval)
	if s.Stop.BalancerWait < 0 {
		c.addf("stop.balancerWait", "%s is negative", s.Stop.BalancerWait)
	}
	c.requirePositive("stop.timeout", s.Stop.Timeout)
	c.requireOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.requireOneOf("log.format", s.Log.Format, "text", "json")
}

func (c *checker) checkListen(l ListenSpec) {
	fields := []struct {
		path, address string
		optional      bool
	}{
		{path: "listen.callers", address: l.Callers},
		{path: "listen.operators", address: l.Operators},
		{path: "listen.peers", address: l.Peers},
		{path: "listen.metrics", address: l.Metrics, optional: true},
	}
	used := make(map[string]string, len(fields))
	for _, f := range fields {
		if f.address == "" && f.optional {
			continue
		}
		if !c.requireAddress(f.path, f.address) {
			continue
		}
		// Peers use UDP, so they can share a port with a TCP address. For port 0 the system chooses a free port.
		if f.path == "listen.peers" || netip.MustParseAddrPort(f.address).Port() == 0 {
			continue
		}
		if other, ok := used[f.address]; ok {
			c.addf(f.path, "%s is also the address of %s", f.address, other)
		}
		used[f.address] = f.path
	}
}

func (c *checker) checkPlatform(p PlatformSpec) {
	u, err := url.Parse(p.URL)
	switch {
	case p.URL == "":
		c.addf("platform.url", "is missing")
	case err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "":
		c.addf("platform.url", "%q is not an http or https URL", p.URL)
	}
	c.requirePositive("platform.timeout", p.Timeout)
	if !(p.WritesPerSecond > 0) {
		c.addf("platform.writesPerSecond", "%v is not greater than 0", p.WritesPerSecond)
	}
	if !(p.ReadsPerSecond > 0) {
		c.addf("platform.readsPerSecond", "%v is not greater than 0", p.ReadsPerSecond)
	}
}

func (c *checker) checkPeers(s Spec) {
	indexByName := make(map[string]int, len(s.Peers))
	for i, peer := range s.Peers {
		path := fmt.Sprintf("peers[%d]", i)
		switch first, ok := indexByName[peer.Name]; {
		case peer.Name == "":
			c.addf(path+".name", "is missing")
		case peer.Name == s.Name:
			c.addf(path+".name", "%q is the name of this entry instance", peer.Name)
		case ok:
			c.addf(path+".name", "%q is already the name of peers[%d]", peer.Name, first)
		default:
			indexByName[peer.Name] = i
		}
		c.requireAddress(path+".address", peer.Address)
	}
}

// checkCertificates requires all three paths, unless there is no peer and none of them is set.
func (c *checker) checkCertificates(s Spec) {
	paths := []struct{ path, file string }{
		{"certificates.authority", s.Certificates.Authority},
		{"certificates.certificate", s.Certificates.Certificate},
		{"certificates.key", s.Certificates.Key},
	}
	needed := len(s.Peers) > 0 || slices.ContainsFunc(paths, func(p struct{ path, file string }) bool { return p.file != "" })
	if !needed {
		return
	}
	for _, p := range paths {
		c.requireValue(p.path, p.file)
	}
}

func (c *checker) checkLimits(l LimitsSpec) {
	fields := []struct {
		path  string
		value int64
	}{
		{"limits.headerBytes", int64(l.HeaderBytes)},
		{"limits.bodyBytes", l.BodyBytes},
		{"limits.responseBytes", l.ResponseBytes},
		{"limits.queueRequests", int64(l.QueueRequests)},
		{"limits.queueBytes", l.QueueBytes},
	}
	for _, f := range fields {
		if f.value < 1 {
			c.addf(f.path, "%d is less than 1", f.value)
		}
	}
	c.requirePositive("limits.readTimeout", l.ReadTimeout)
	if l.MemoryBytes != 0 && l.MemoryBytes/minMemoryFactor < l.BodyBytes {
		c.addf("limits.memoryBytes", "%d is less than %d times limits.bodyBytes, so that callers would not have room for a body", l.MemoryBytes, minMemoryFactor)
	}
}

// minMemoryFactor is the part of the memory that has room for a body: callers have a fifth of it, three quarters of that are for large
// requests, and a byte of a body counts as three.
const minMemoryFactor = 21

func (c *checker) requireValue(path, value string) {
	if value == "" {
		c.addf(path, "is missing")
	}
}

func (c *checker) requirePositive(path string, d time.Duration) {
	if d <= 0 {
		c.addf(path, "%s is not greater than 0", d)
	}
}

func (c *checker) requireOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.addf(path, "%q is not one of %q", value, allowed)
	}
}

func (c *checker) requireAddress(path, value string) bool {
	if value == "" {
		c.addf(path, "is missing")
		return false
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addf(path, "%q is not an IP address with a port", value)
		return false
	}
	return true
}
