package history

import (
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// RunBegin is the start of a run of a team, as an endpoint records it. Output: nil.
type RunBegin struct{ Team, ID string }

// RunEnd is the end of a run of a team. Output: nil.
type RunEnd struct{ Team, ID string }

// LimitInForce is a report that a changed upper limit of a team is in force everywhere. Output: the limit, an int.
type LimitInForce struct{ Team string }

// UpperLimit is the guarantee upperLimit: no team has more runs at a time than its upper limit. The initial limits
// are given by team. A lowered limit counts from the report that it is in force. It covers RunBegin, RunEnd and
// LimitInForce.
func UpperLimit(limits map[string]int) Model {
	team := func(input any) string {
		switch in := input.(type) {
		case RunBegin:
			return in.Team
		case RunEnd:
			return in.Team
		}
		return input.(LimitInForce).Team
	}
	// limit is valid only if changed is set, because the initial state does not depend on the team.
	type state struct {
		count   int
		changed bool
		limit   int
	}
	return Model{
		Name:   "upperLimit",
		Covers: inputTypes(RunBegin{}, RunEnd{}, LimitInForce{}),
		Model: porcupine.Model{
			Partition: partitionBy(team),
			Init:      func() any { return state{} },
			Step: func(old, input, output any) (bool, any) {
				s := old.(state)
				switch input.(type) {
				case RunEnd:
					s.count--
					return s.count >= 0, s
				case LimitInForce:
					s.changed, s.limit = true, output.(int)
					return s.count <= s.limit, s
				}
				if !s.changed {
					s.limit = limits[team(input)]
				}
				s.count++
				return s.count <= s.limit, s
			},
		},
	}
}

// Run is a run of a request at an endpoint. Output: nil.
type Run struct{ ID string }

// AtMostOnce is the guarantee atMostOnce: each request runs at most once. It covers Run.
func AtMostOnce() Model {
	return Model{
		Name:   "atMostOnce",
		Covers: inputTypes(Run{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string { return input.(Run).ID }),
			Init:      func() any { return false },
			Step:      func(state, _, _ any) (bool, any) { return !state.(bool), true },
		},
	}
}

// NotRun is a rejection of a request that says that the request had no effect. Output: nil.
type NotRun struct{ ID string }

// NotRunNeverRuns is the guarantee notRun: a request that was rejected as not run never runs, before or after the
// rejection. It covers Run and NotRun.
func NotRunNeverRuns() Model {
	type state struct{ ran, rejected bool }
	return Model{
		Name:   "notRun",
		Covers: inputTypes(Run{}, NotRun{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string {
				if in, ok := input.(Run); ok {
					return in.ID
				}
				return input.(NotRun).ID
			}),
			Init: func() any { return state{} },
			Step: func(old, input, _ any) (bool, any) {
				s := old.(state)
				if _, ok := input.(Run); ok {
					return !s.rejected, state{ran: true, rejected: s.rejected}
				}
				return !s.ran, state{ran: s.ran, rejected: true}
			},
		},
	}
}

// Response is a response that an endpoint made for a request. Output: nil.
type Response struct{ ID, Body string }

// Exchange is a request as its caller sees it. Output: the response body that the caller received.
type Exchange struct{ ID string }

// OwnAnswer is the guarantee ownAnswer: a caller receives a complete response that an endpoint made for this
// request. It covers Response and Exchange.
func OwnAnswer() Model {
	return Model{
		Name:   "ownAnswer",
		Covers: inputTypes(Response{}, Exchange{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string {
				if in, ok := input.(Response); ok {
					return in.ID
				}
				return input.(Exchange).ID
			}),
			// The state holds the responses made so far, each between zero bytes.
			Init: func() any { return "\x00" },
			Step: func(old, input, output any) (bool, any) {
				made := old.(string)
				if in, ok := input.(Response); ok {
					return true, made + in.Body + "\x00"
				}
				return strings.Contains(made, "\x00"+output.(string)+"\x00"), made
			},
		},
	}
}

// AcceptChange is an accepted change of the configuration. Output: its version, a uint64.
type AcceptChange struct{}

// ObserveVersion is a process that reads the version of its configuration. Output: the version, a uint64.
type ObserveVersion struct{ Process string }

// ConfigForward is the guarantee configForward as far as it needs no clock: versions of accepted changes grow, and
// no process goes back to an older version or to one that was not accepted. It covers AcceptChange and
// ObserveVersion.
func ConfigForward() Model {
	type state struct{ accepted, observed uint64 }
	return Model{
		Name:   "configForward",
		Covers: inputTypes(AcceptChange{}, ObserveVersion{}),
		Model: porcupine.Model{
			// Each process has its own partition, which also contains all accepted changes.
			Partition: func(operations []porcupine.Operation) [][]porcupine.Operation {
				var accepted []porcupine.Operation
				processes := partitionBy(func(input any) string { return input.(ObserveVersion).Process })
				var observed []porcupine.Operation
				for _, o := range operations {
					if _, ok := o.Input.(AcceptChange); ok {
						accepted = append(accepted, o)
					} else {
						observed = append(observed, o)
					}
				}
				parts := processes(observed)
				for i, p := range parts {
					parts[i] = append(slices.Clip(p), accepted...)
				}
				return append(parts, accepted)
			},
			Init: func() any { return state{} },
			Step: func(old, input, output any) (bool, any) {
				s, version := old.(state), output.(uint64)
				if _, ok := input.(AcceptChange); ok {
					return version > s.accepted, state{accepted: version, observed: s.observed}
				}
				return version >= s.observed && version <= s.accepted, state{accepted: s.accepted, observed: version}
			},
		},
	}
}

// RevokeKey is the revocation of a key. Output: the time of the response, a [time.Duration] since any fixed
// instant of the run.
type RevokeKey struct{ Key string }

// AdmitWork is work admitted under a key. Output: the time of admission, as in [RevokeKey].
type AdmitWork struct{ Key string }

// KeyRevocation is the guarantee keyWithdrawal: no work is admitted under a key later than bound after the
// response to the key's revocation. It covers RevokeKey and AdmitWork.
func KeyRevocation(bound time.Duration) Model {
	const notRevoked = time.Duration(-1)
	return Model{
		Name:   "keyWithdrawal",
		Covers: inputTypes(RevokeKey{}, AdmitWork{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string {
				if in, ok := input.(RevokeKey); ok {
					return in.Key
				}
				return input.(AdmitWork).Key
			}),
			Init: func() any { return notRevoked },
			Step: func(old, input, output any) (bool, any) {
				revoked, at := old.(time.Duration), output.(time.Duration)
				if _, ok := input.(RevokeKey); ok {
					if revoked == notRevoked {
						revoked = at
					}
					return true, revoked
				}
				return revoked == notRevoked || at <= revoked+bound, revoked
			},
		},
	}
}

// AcquireDuty is a process that acquires the lease of a duty. Output: its fencing token, a uint64.
type AcquireDuty struct{ Duty string }

// FencedWrite is a write for a duty that took effect. Output: the fencing token of the writer.
type FencedWrite struct{ Duty string }

// Fencing is the rule of fencing tokens: they grow with each holder, and no write takes effect under a token after
// a write under a higher one, or under a token that no process has acquired. It covers AcquireDuty and
// FencedWrite.
func Fencing() Model {
	type state struct{ acquired, written uint64 }
	return Model{
		Name:   "fencing",
		Covers: inputTypes(AcquireDuty{}, FencedWrite{}),
		Model: porcupine.Model{
			Partition: partitionBy(func(input any) string {
				if in, ok := input.(AcquireDuty); ok {
					return in.Duty
				}
				return input.(FencedWrite).Duty
			}),
			Init: func() any { return state{} },
			Step: func(old, input, output any) (bool, any) {
				s, token := old.(state), output.(uint64)
				if _, ok := input.(AcquireDuty); ok {
					return token > s.acquired, state{acquired: token, written: s.written}
				}
				return token >= s.written && token <= s.acquired, state{acquired: s.acquired, written: token}
			},
		},
	}
}
