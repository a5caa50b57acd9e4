package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/peer"
)

// checkInterval is the time between checks whether a change is in force everywhere.
const checkInterval = 20 * time.Millisecond

// waitInForce waits until the change is in force in every entry instance, and returns nil then.
// Otherwise it returns which instances have not confirmed it.
func (s *Server) waitInForce(ctx context.Context, result config.Result, keys bool) *Pending {
	latest := result.AcceptedAt.Add(s.options.Source.Policy().FreshnessBound())
	ctx, cancel := context.WithTimeout(ctx, s.options.Wait)
	defer cancel()
	// This instance need not wait for its next poll. A failure is no fault of the change.
	if err := s.options.Source.Poll(ctx); err != nil {
		s.logger.Debug("Configuration poll failed.", "error", err)
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		waiting := s.waitingFor(result.Version, keys)
		if len(waiting) == 0 || keys && time.Now().After(latest) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Pending{Waiting: waiting, Latest: latest.UTC()}
		case <-ticker.C:
		}
	}
}

// waitingFor returns the entry instances that may still act on an earlier version. For a change of keys
// a dead instance counts too, since it may only be cut off from this one. An instance that is started
// later reads the platform first and needs no wait.
func (s *Server) waitingFor(version uint64, keys bool) []string {
	var waiting []string
	if s.options.Source.Snapshot().Version() < version {
		waiting = append(waiting, "this instance")
	}
	if s.options.Fleet == nil {
		return waiting
	}
	known := []string{s.options.Fleet.ID()}
	for _, m := range s.options.Fleet.Members() {
		known = append(known, m.ID)
		if m.Version < version && (keys || m.State != peer.Dead) {
			waiting = append(waiting, m.ID)
		}
	}
	for _, id := range s.options.Fleet.Registered() {
		if !slices.Contains(known, id) {
			waiting = append(waiting, id)
		}
	}
	return waiting
}

func (s *Server) status(*http.Request) (any, error) {
	source := s.options.Source
	version, age, known := source.Report()
	status := Status{
		Version:         version,
		AgeSeconds:      -1,
		BoundSeconds:    source.Policy().FreshnessBound().Seconds(),
		WhenUnreachable: source.Policy().WhenUnreachable,
		Members:         []MemberStatus{},
	}
	if known {
		status.AgeSeconds = age.Seconds()
	}
	if s.options.Fleet != nil {
		for _, m := range s.options.Fleet.Members() {
			status.Members = append(status.Members, MemberStatus{
				ID: m.ID, DataCentre: m.DataCentre, State: string(m.State), Version: m.Version, LastContactSeconds: m.Heard.Seconds(),
			})
		}
	}
	return status, nil
}
