package order

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

type candidate struct {
	Key
	name, team string
}

func (c *candidate) key() *Key      { return &c.Key }
func (c *candidate) ofTeam() string { return c.team }

func compare(a, b candidate) int {
	if d := a.Compare(&b.Key); d != 0 {
		return d
	}
	return strings.Compare(a.name, b.name)
}

// TestTierOf guards against late jobs that keep jobs waiting which can still be done in time, and against jobs without value that keep
// late ones waiting.
func TestTierOf(t *testing.T) {
	const start, target = time.Second, 3 * time.Second
	for name, test := range map[string]struct {
		now, path time.Duration
		want      Tier
	}{
		"in time":      {2 * time.Second, time.Second, InTime},
		"just late":    {2 * time.Second, time.Second + 1, Late},
		"just of use":  {6 * time.Second, time.Second, Late},
		"without use":  {6 * time.Second, time.Second + 1, Expired},
		"long expired": {time.Hour, 0, Expired},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, TierOf(test.now, test.path, start, target), qt.Equals, test.want)
		})
	}
}

// TestTimeLeft guards against a pool that grows for jobs that have missed their target, or gets nothing for them.
func TestTimeLeft(t *testing.T) {
	const start, target, path = time.Second, 3 * time.Second, 2 * time.Second
	for name, test := range map[string]struct{ now, want time.Duration }{
		"in time":     {time.Second, 2 * time.Second},
		"half a path": {2 * time.Second, time.Second},
		"late":        {2*time.Second + 1, 5*time.Second - 1},
		"just of use": {5 * time.Second, 2 * time.Second},
		"expired":     {5*time.Second + 1, expiredTime},
	} {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, TimeLeft(test.now, path, start, target), qt.Equals, test.want)
		})
	}
}

// TestCompare guards against shares that move likely causes and services, against jobs beyond the rate that go before those within it, and
// against jobs without value that go before any that has one.
func TestCompare(t *testing.T) {
	want := []candidate{
		{name: "likely cause", Key: New(LikelyCause, true, 0, 0)},
		{name: "service", Key: New(Service, false, 0, 9)},
		{name: "within, urgent", Key: New(InTime, false, -1, 7)},
		{name: "within", Key: New(InTime, false, 0, 3)},
		{name: "within, more work", Key: New(InTime, false, 0, 4)},
		{name: "within, less urgent", Key: New(InTime, false, 1, 1)},
		{name: "within, least urgent", Key: New(InTime, false, math.MaxInt, 1)},
		{name: "beyond", Key: New(InTime, true, 0, 1)},
		{name: "within, late", Key: New(Late, false, 0, 1)},
		{name: "beyond, late", Key: New(Late, true, 0, 1)},
		{name: "within, expired", Key: New(Expired, false, 0, 1)},
		{name: "beyond, expired", Key: New(Expired, true, 0, 1)},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, compare)
	qt.Assert(t, names(slices.Values(got)), qt.DeepEquals, names(slices.Values(want)))
}

func names(all func(func(candidate) bool)) (list []string) {
	for c := range all {
		list = append(list, c.name)
	}
	return list
}

// TestSequence guards against a team that gets all of a pool in a pass although others wait, and against an order within a team that
// changes.
func TestSequence(t *testing.T) {
	job := func(name string, rank float64) candidate {
		return candidate{name: name, team: name[:1], Key: New(InTime, true, 0, rank)}
	}
	sorted := []candidate{
		{name: "service", team: "a", Key: New(Service, false, 0, 0)},
		job("a1", 1), job("a2", 2), job("a3", 3), job("b1", 4), job("b2", 5), job("c1", 6),
		{name: "late", team: "a", Key: New(Late, true, 0, 0)},
	}
	levels := map[string]int{"c": 1}
	var got []string
	for c := range Sequence(sorted, (*candidate).key, (*candidate).ofTeam, func(team string, _ bool) int { return levels[team] }) {
		got = append(got, c.name)
		levels[c.team]++
	}
	// The service counts as a run of its team, too.
	qt.Assert(t, got, qt.DeepEquals, []string{"service", "b1", "a1", "b2", "c1", "a2", "a3", "late"})
	got = nil
	for c := range Sequence(sorted, (*candidate).key, (*candidate).ofTeam, nil) {
		got = append(got, c.name)
	}
	qt.Assert(t, got, qt.DeepEquals, names(slices.Values(sorted)))
}

// TestSequenceModel checks that each candidate comes once, whatever the levels do, that the order of groups and within each team is kept, and
// that no candidate comes before one of its group whose team has a lower level.
func TestSequenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sorted []candidate
		for i := range rapid.IntRange(0, 40).Draw(t, "candidates") {
			sorted = append(sorted, candidate{name: string(rune('a' + i)), team: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"), Key: New(
				rapid.SampledFrom([]Tier{LikelyCause, Service, InTime, Late, Expired}).Draw(t, "tier"), rapid.Bool().Draw(t, "beyond"),
				rapid.IntRange(0, 1).Draw(t, "priority"), float64(rapid.IntRange(0, 5).Draw(t, "rank")),
			)})
		}
		slices.SortFunc(sorted, compare)
		levels := make(map[string]int)
		var got []candidate
		for c := range Sequence(sorted, (*candidate).key, (*candidate).ofTeam, func(team string, _ bool) int { return levels[team] }) {
			for i := range sorted {
				other := &sorted[i]
				if c.tier > Service && c.group == other.group && levels[other.team] < levels[c.team] && !slices.ContainsFunc(got, func(g candidate) bool { return g.name == other.name }) {
					t.Fatalf("%s comes before %s", c.name, other.name)
				}
			}
			got = append(got, *c)
			levels[c.team] += rapid.IntRange(0, 2).Draw(t, "growth")
		}
		if len(got) != len(sorted) {
			t.Fatalf("%d of %d candidates", len(got), len(sorted))
		}
		for i := 1; i < len(got); i++ {
			if got[i-1].group > got[i].group {
				t.Fatal("the order of groups is not kept")
			}
		}
		for _, team := range []string{"x", "y", "z"} {
			ofTeam := func(list []candidate) []candidate {
				return slices.DeleteFunc(slices.Clone(list), func(c candidate) bool { return c.team != team })
			}
			if !slices.Equal(ofTeam(got), ofTeam(sorted)) {
				t.Fatal("the order within a team is not kept")
			}
		}
	})
}

// TestAhead guards against jobs that are counted although they come after the own one, and against work of services, which never ends.
func TestAhead(t *testing.T) {
	job := func(name string, rank float64) candidate {
		return candidate{name: name, team: name[:1], Key: New(InTime, true, 0, rank)}
	}
	sorted := []candidate{{name: "service", team: "s", Key: New(Service, false, 0, 7)}, job("a1", 1), job("a2", 2), job("b1", 4)}
	for name, test := range map[string]struct {
		own   string
		level func(string, bool) int
		want  Amount
	}{
		"first":            {"service", nil, Amount{}},
		"last":             {"b1", nil, Amount{Jobs: 3, CoreSeconds: 3}},
		"by level":         {"b1", func(team string, _ bool) int { return strings.Index("ba", team) }, Amount{Jobs: 1}},
		"not among sorted": {"none", nil, Amount{Jobs: 4, CoreSeconds: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			got := Ahead(sorted, (*candidate).key, (*candidate).ofTeam, test.level, func(c *candidate) bool { return c.name == test.own })
			qt.Assert(t, got, qt.Equals, test.want)
		})
	}
}
