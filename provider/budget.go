package provider

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"
)

// User names a component of the process that calls the platform.
type User string

// Users of the platform.
const (
	UserConfig       User = "config"
	UserLeases       User = "leases"
	UserClaims       User = "claims"
	UserAllotments   User = "allotments"
	UserWaves        User = "waves"
	UserMoves        User = "moves"
	UserJobs         User = "jobs"
	UserHousekeeping User = "housekeeping"
	UserHistory      User = "history"
)

// shedOrder lists the users whose calls are shed while the platform is slow, in the order in which they are shed. Calls of
// all other users are never shed.
var shedOrder = []User{UserHistory, UserHousekeeping, UserJobs, UserMoves, UserWaves}

// DefaultShares returns the fraction of the budget that is reserved for each user. The rest is shared.
func DefaultShares() map[User]float64 {
	return map[User]float64{
		UserConfig: 0.06, UserLeases: 0.06, UserClaims: 0.36, UserAllotments: 0.12,
		UserWaves: 0.06, UserMoves: 0.03, UserJobs: 0.08, UserHousekeeping: 0.02, UserHistory: 0.01,
	}
}

// budget limits the rate of the calls of a process. Each user has a reserved share. The unreserved rest is shared, and
// users that can be shed leave half of it to the others.
type budget struct {
	maxWait time.Duration
	users   map[User][2]*rate.Limiter
	shared  [2]*rate.Limiter
}

func newBudget(o ClientOptions) *budget {
	b := &budget{maxWait: o.MaxWait, users: make(map[User][2]*rate.Limiter)}
	rates := [2]float64{read: o.Reads, write: o.Writes}
	limiter := func(k kind, share float64) *rate.Limiter {
		perSecond := share * rates[k]
		// The burst is the calls of one second, but at least one call.
		return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
	}
	unreserved := 1.0
	for user, share := range o.Shares {
		unreserved -= share
		b.users[user] = [2]*rate.Limiter{read: limiter(read, share), write: limiter(write, share)}
	}
	unreserved = max(unreserved, 0)
	b.shared = [2]*rate.Limiter{read: limiter(read, unreserved), write: limiter(write, unreserved)}
	return b
}

// acquire takes one call from the reserved share of the user or from the shared rest. It waits up to maxWait for the
// reserved share and then fails with ErrOverBudget.
func (b *budget) acquire(ctx context.Context, user User, k kind) error {
	reserved := b.users[user][k]
	if reserved != nil && reserved.Allow() {
		return nil
	}
	shared := b.shared[k]
	if !canShed(user) || shared.Tokens() > float64(shared.Burst())/2 {
		if shared.Allow() {
			return nil
		}
	}
	if reserved == nil {
		return fmt.Errorf("%w: user %q has no share", ErrOverBudget, user)
	}
	reservation := reserved.Reserve()
	delay := reservation.Delay()
	if !reservation.OK() || delay > b.maxWait {
		reservation.Cancel()
		return fmt.Errorf("%w: %s of user %q", ErrOverBudget, k, user)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		reservation.Cancel()
		return fmt.Errorf("%w: %w", ErrOverBudget, ctx.Err())
	}
}

func canShed(user User) bool {
	for _, u := range shedOrder {
		if u == user {
			return true
		}
	}
	return false
}
