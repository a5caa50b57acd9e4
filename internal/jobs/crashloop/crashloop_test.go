package crashloop

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSuspects guards against a crash that is blamed on tasks that ran long before, or were sent to a worker that was down already.
func TestSuspects(t *testing.T) {
	started := func(survived time.Duration) Start { return Start{Confirmed: true, Survived: survived} }
	sent := func(at time.Duration) Start { return Start{Sent: time.Minute + at} }
	tests := map[string]struct {
		starts []Start
		want   []int
	}{
		"nothing ran":                        {nil, nil},
		"one start just before":              {[]Start{started(time.Second), started(5 * time.Millisecond)}, []int{1}},
		"several starts just before":         {[]Start{started(provenAfter - 1), started(provenAfter), started(0)}, []int{0, 2}},
		"no start just before":               {[]Start{started(lateCrash - 1), started(lateCrash)}, []int{0}},
		"start without an answer":            {[]Start{started(time.Second), sent(3 * time.Millisecond)}, []int{1}},
		"starts after one without an answer": {[]Start{sent(300 * time.Millisecond), sent(3 * time.Millisecond), sent(5 * time.Millisecond)}, []int{1, 2}},
		"confirmed and unanswered starts":    {[]Start{started(5 * time.Millisecond), sent(time.Millisecond), sent(time.Second)}, []int{0, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, Suspects(test.starts), qt.DeepEquals, test.want)
		})
	}
}

// TestGroupSize guards against many suspects that wait for each other, and against groups where there is time to tell all apart.
func TestGroupSize(t *testing.T) {
	tests := map[string]struct{ suspects, workers, want int }{
		"none":             {0, 10, 1},
		"few":              {59, 10, 1},
		"many":             {60, 10, 2},
		"very many":        {10000, 10, maxGroup},
		"no worker in use": {60, 0, maxGroup},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, GroupSize(test.suspects, test.workers), qt.Equals, test.want)
		})
	}
}

// TestGiveUp guards against a bound above the five starts that the users allow, and against a job that fails for two coincidences, for
// starts that may not have reached their workers, or for workers that may only be cut off.
func TestGiveUp(t *testing.T) {
	tests := map[string]struct {
		count                  Count
		likely, giveUp, unseen bool
	}{
		"one":                {count: Count{1, 1, 0, 0}},
		"two":                {count: Count{2, 2, 0, 0}, likely: true},
		"three":              {count: Count{3, 3, 0, 0}, likely: true, giveUp: true},
		"one unconfirmed":    {count: Count{3, 2, 0, 0}, likely: true, giveUp: true},
		"two unconfirmed":    {count: Count{3, 1, 0, 0}, likely: true},
		"third unconfirmed":  {count: Count{4, 1, 0, 0}, likely: true},
		"none confirmed":     {count: Count{4, 0, 0, 0}, likely: true},
		"four":               {count: Count{4, 2, 0, 0}, likely: true, giveUp: true, unseen: true},
		"bound":              {count: Count{5, 0, 0, 0}, likely: true, giveUp: true, unseen: true},
		"late ones":          {count: Count{1, 1, 3, 0}},
		"bound of late ones": {count: Count{0, 0, 5, 0}, giveUp: true, unseen: true},
		"bound of both":      {count: Count{2, 2, 3, 0}, likely: true, giveUp: true, unseen: true},
		"silent ones":        {count: Count{0, 0, 0, 9}, likely: true},
		"two, silent ones":   {count: Count{2, 2, 0, 9}, likely: true},
		"one, a silent one":  {count: Count{1, 1, 0, 1}, likely: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, test.count.Likely(), qt.Equals, test.likely)
			qt.Assert(t, test.count.GiveUp(), qt.Equals, test.giveUp)
			qt.Assert(t, test.count.GiveUpUnseen(), qt.Equals, test.unseen)
		})
	}
}

// TestSilencePause guards against starts beyond the bound while nothing is known of the workers of earlier ones, and against a task that
// waits without need.
func TestSilencePause(t *testing.T) {
	tests := map[string]struct {
		count Count
		want  time.Duration
	}{
		"nothing":                 {Count{}, 0},
		"three crashes":           {Count{All: 3}, 0},
		"two silent":              {Count{Silent: 2}, 0},
		"two crashes, one silent": {Count{All: 2, Silent: 1}, silencePause},
		"three silent":            {Count{Silent: 3}, silencePause},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, test.count.SilencePause(), qt.Equals, test.want)
		})
	}
}
