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

// waitInForce waits until the change is in force in every entry instance and returns nil. If that takes longer
// than Options.Wait, it returns which instances have not confirmed the change.
func (s *Server) waitInForce(ctx context.Context, result config.Result, changesKeys bool) *Pending {
	latest := result.AcceptedAt.Add(s.options.Source.Policy().FreshnessBound())
	ctx, cancel := context.WithTimeout(ctx, s.options.Wait)
	defer cancel()
	// Poll now, so that this instance does not wait for its next regular poll. The change stands even if the poll fails.
	if err := s.options.Source.Poll(ctx); err != nil {
		s.logger.Debug("Configuration poll failed.", "error", err)
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		waiting := s.unconfirmedInstances(result.Version, changesKeys)
		if len(waiting) == 0 || changesKeys && time.Now().After(latest) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &Pending{Waiting: waiting, Latest: latest.UTC()}
		case <-ticker.C:
		}
	}
}

// unconfirmedInstances returns the entry instances that may still use an earlier version. For a change of keys
// that includes instances that this one considers dead, because they may just be unreachable from here. An instance
// that starts later reads the platform before it serves, so it is not waited for.
func (s *Server) unconfirmedInstances(version uint64, changesKeys bool) []string {
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
		if m.Version < version && (changesKeys || m.State != peer.Dead) {
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

// status returns what this instance knows about the versions of all entry instances.
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
				ID: m.ID, DataCentre: m.DataCentre, State: string(m.State), Version: m.Version, LastContactSeconds: m.SinceLastContact.Seconds(),
			})
		}
	}
	return status, nil
}
