package node

import (
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/intake"
	"github.com/chivetiller/chivetiller/internal/jobs/admission"
	"github.com/chivetiller/chivetiller/scheduler"
)

var _ intake.Reports = (*peers)(nil)

// queueLoad is what a reply of the leader tells of the load of a queue. Nodes of earlier builds neither send nor read it.
type queueLoad struct {
	Report *admission.Report `cbor:"10,keyasint,omitempty"`
	// Age is the time since the report was made.
	Age time.Duration `cbor:"11,keyasint,omitempty"`
}

// loadOf returns the load of a queue, and nothing if there is no report or an old one.
func loadOf(e *scheduler.Engine, queue string) queueLoad {
	report, age, ok := e.LoadReport(queue)
	if !ok || age > admission.MaxAge {
		return queueLoad{}
	}
	return queueLoad{Report: &report, Age: age}
}

// receivedReport is a report and the local time at which it was made at the latest.
type receivedReport struct {
	report admission.Report
	madeAt time.Duration
}

// keepReport keeps the report in a reply to a request that was sent at a time. The queue is one of the configuration.
func (p *peers) keepReport(queue string, load queueLoad, sent time.Duration) {
	if load.Report == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if made := sent - load.Age; made >= p.reports[queue].madeAt {
		p.reports[queue] = receivedReport{report: *load.Report, madeAt: made}
	}
}

// LoadReport implements [intake.Reports].
func (p *peers) LoadReport(queue string) (admission.Report, time.Duration, bool) {
	if engine, ok := p.n.leadership.Engine(); ok && engine.IsLeader() {
		return engine.LoadReport(queue)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	received, ok := p.reports[queue]
	return received.report, clock.Now() - received.madeAt, ok
}
