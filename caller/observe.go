package caller

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/chivetiller/chivetiller/common/problem"
)

// Outcomes of requests that were not rejected. The outcome of a rejected request is the name of its problem kind.
const (
	OutcomeAnswered = "answered"
	// OutcomeStored means that the caller received the stored response of an earlier request.
	OutcomeStored = "stored"
	// OutcomeUndelivered means that there was a response, but the caller did not receive it.
	OutcomeUndelivered = "undelivered"
)

// Event describes a request that has ended.
type Event struct {
	// Class and Team are empty if the request was rejected before they were known.
	Class string
	Team  string
	// Outcome is one of the constants or the name of a problem kind.
	Outcome string
	Status  int
	// NotRun says that the request certainly did not run.
	NotRun bool
	// Target is the target of the class, and Duration the time since the head of the request arrived.
	Target   time.Duration
	Duration time.Duration
}

// Observer receives an event for each request, for metrics and the burn report. Its method is called concurrently.
type Observer interface {
	RequestEnded(e Event)
}

// Limits of log lines about rejected requests, so that a flood of bad requests does not fill the log.
const (
	logRate  = 50 // lines a second
	logBurst = 200
)

// rejectionLog writes one line for each rejected request, limited to logRate. A line that follows suppressed ones says
// how many there were.
type rejectionLog struct {
	logger     hclog.Logger
	limiter    *rate.Limiter
	suppressed atomic.Int64
}

func newRejectionLog(logger hclog.Logger) *rejectionLog {
	return &rejectionLog{logger: logger, limiter: rate.NewLimiter(logRate, logBurst)}
}

func (l *rejectionLog) write(id, remote, class, trace string, p *problem.Problem) {
	level := rejectionLevel(p.Kind())
	if !l.logger.IsInfo() && level == hclog.Info || !l.logger.IsDebug() && level == hclog.Debug || level == hclog.NoLevel {
		return
	}
	if !l.limiter.Allow() {
		l.suppressed.Add(1)
		return
	}
	args := []any{"request", id, "caller", remote, "class", class, "problem", p.Kind().Name,
		"status", p.Kind().Status, "notRun", p.NotRun(), "detail", p.Detail()}
	if trace != "" {
		args = append(args, "traceparent", trace)
	}
	if n := l.suppressed.Swap(0); n > 0 {
		args = append(args, "suppressed", n)
	}
	l.logger.Log(level, "Request rejected.", args...)
}

// rejectionLevel returns the log level of a rejection. Rejections that come in large numbers when load is high are
// logged for debugging only. Endpoint faults are not logged here, because package dispatch has logged them already.
func rejectionLevel(k problem.Kind) hclog.Level {
	switch k {
	case problem.EndpointFailed, problem.EndpointTimeout:
		return hclog.NoLevel
	case problem.Late, problem.OverShare, problem.UpperLimit, problem.NoEndpoint, problem.Stopping, problem.Cancelled:
		return hclog.Debug
	}
	return hclog.Info
}
