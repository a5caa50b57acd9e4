package crashloop

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestSites guards against a task that is started where it has crashed a worker before, or that is blamed for a worker which crashes whatever
// runs there.
func TestSites(t *testing.T) {
	var none *Sites
	qt.Assert(t, none.Crashed("a") || none.Repeated("a", true) || none.MayCrashByItself("a", 0), qt.IsFalse)
	s := new(Sites)
	for range 2 {
		s.Add("early", false)
		s.Add("late", true)
	}
	qt.Assert(t, [][]string{s.Addresses, s.LateAddresses}, qt.DeepEquals, [][]string{{"early"}, {"late"}})
	for name, test := range map[string]struct {
		address                           string
		crashed, repeated, repeatedIfLate bool
	}{
		"early": {"early", true, true, true},
		"late":  {"late", false, false, true},
		"other": {"other", false, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, s.Crashed(test.address), qt.Equals, test.crashed)
			qt.Assert(t, s.Repeated(test.address, false), qt.Equals, test.repeated)
			qt.Assert(t, s.Repeated(test.address, true), qt.Equals, test.repeatedIfLate)
			s.Untelling = 20
			life := RequiredLife(s.Untelling)
			qt.Assert(t, s.MayCrashByItself(test.address, life-time.Millisecond), qt.Equals, test.repeatedIfLate)
			qt.Assert(t, s.MayCrashByItself(test.address, life), qt.IsFalse)
		})
	}
}
