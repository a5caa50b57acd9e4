// Package retry decides whether and after which delay a failed request is retried, and whether a slow
// attempt is hedged by a second one.
//
// The retries and hedged attempts of a class spend the same budget, a token bucket that first attempts
// fill. By default the load of a class is therefore at most 1.1 times its first attempts plus the burst.
//
// # Usage
//
//	b := retry.NewBudget(retry.Options{}) // one for each class
//	b.RecordFirstAttempt(now)
//	... // first attempt
//	p := retry.NewPolicy()
//	delay, ok := p.Retry(now, retry.Request{Idempotent: true, Deadline: deadline}, b)
//	if ok {
//		... // next attempt after delay
//	}
//
// A slow attempt of an idempotent request is hedged:
//
//	h := retry.NewHedger() // one for each class
//	h.Observe(now, service)
//	if delay, ok := h.Delay(); ok {
//		... // after delay without a response: if h.AllowHedge(now, started, request, b) { ... }
//	}
//
// A Budget, a Policy and a Hedger are not safe for concurrent use.
package retry

import (
	"time"

	"github.com/cenkalti/backoff/v5"
)

// MaxRetries is the largest number of retries and hedged attempts of a request.
const MaxRetries = 2

const (
	defaultRatio = 0.1
	defaultBurst = 10
)

// Options are the settings of a budget. A zero field takes its default.
type Options struct {
	// Ratio is the number of tokens that a first attempt adds. The default is 0.1.
	Ratio float64
	// Burst is the capacity of the bucket: the number of retries that are allowed without further first
	// attempts. The default is 10.
	Burst float64
}

// Budget is the retry budget of a class, a token bucket.
type Budget struct {
	options Options
	tokens  float64
}

// NewBudget returns a full budget.
func NewBudget(o Options) *Budget {
	if o.Ratio <= 0 {
		o.Ratio = defaultRatio
	}
	if o.Burst <= 0 {
		o.Burst = defaultBurst
	}
	return &Budget{options: o, tokens: o.Burst}
}

// RecordFirstAttempt adds the tokens of a first attempt, up to the burst.
func (b *Budget) RecordFirstAttempt(time.Time) {
	b.tokens = min(b.tokens+b.options.Ratio, b.options.Burst)
}

// Allow spends a token for a retry or a hedged attempt. It returns false if none is left.
func (b *Budget) Allow(time.Time) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Request describes a request with a failed or slow attempt.
type Request struct {
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// NotRun means that no attempt so far can have had an effect, so that a retry is safe.
	NotRun bool
	// Retries is the number of retries and hedged attempts so far.
	Retries  int
	Deadline time.Time
	// ServiceTime is the expected service time of a further attempt.
	ServiceTime time.Duration
}

const (
	initialDelay = 10 * time.Millisecond
	maxDelay     = 500 * time.Millisecond
)

// Policy computes delays between attempts.
type Policy struct {
	backoff *backoff.ExponentialBackOff
}

// NewPolicy returns a policy with exponential backoff and jitter.
func NewPolicy() *Policy {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialDelay
	b.MaxInterval = maxDelay
	return &Policy{backoff: b}
}

// Retry returns the delay before the next attempt and spends a token of the budget. It returns false and spends
// nothing if the request must not run again, cannot finish before its deadline, or the budget is empty.
func (p *Policy) Retry(now time.Time, a Request, b *Budget) (time.Duration, bool) {
	if a.Retries >= MaxRetries || !a.Idempotent && !a.NotRun {
		return 0, false
	}
	delay := p.delay(a.Retries)
	if now.Add(delay + a.ServiceTime).After(a.Deadline) {
		return 0, false
	}
	if !b.Allow(now) {
		return 0, false
	}
	return delay, true
}

// delay returns the backoff after the given number of retries.
func (p *Policy) delay(retries int) time.Duration {
	p.backoff.Reset()
	delay := p.backoff.NextBackOff()
	for range retries {
		delay = p.backoff.NextBackOff()
	}
	return delay
}
