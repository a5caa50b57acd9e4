package serving_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/settings/serving"
)

// TestParseClients guards against limits of clients that refuse all requests or leave the scheduler no memory.
func TestParseClients(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		want  func(*serving.Clients)
		fails string
	}{
		"default": {"", func(*serving.Clients) {}, ""},
		"one set": {"clients:\n  bodyTime: 10s\n", func(c *serving.Clients) { c.BodyTime = 10 * time.Second }, ""},
		"all set": {"clients:\n  memoryShare: 0.1\n  connections: 100\n  headTime: 3s\n  bodyTime: 9s\n  stallTime: 2s\n", func(c *serving.Clients) {
			*c = serving.Clients{MemoryShare: 0.1, Connections: 100, HeadTime: 3 * time.Second, BodyTime: 9 * time.Second, StallTime: 2 * time.Second}
		}, ""},
		"too much memory": {"clients:\n  memoryShare: 0.6\n", nil, `.*clients.memoryShare 0.6 is not above 0 and up to 0.2`},
		"no memory":       {"clients:\n  memoryShare: 0\n", nil, `.*clients.memoryShare.*`},
		"no time":         {"clients:\n  stallTime: 0s\n", nil, `.*clients.stallTime 0s is not positive`},
		"negative":        {"clients:\n  connections: -1\n", nil, `.*clients.connections -1 is negative`},
		"misspelt":        {"clients:\n  headtime: 1s\n", nil, `(?s).*headtime.*`},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := serving.Parse([]byte(test.text))
			if test.fails != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.fails)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			want := serving.Default().Clients()
			test.want(&want)
			qt.Assert(t, s.Clients(), qt.Equals, want)
			qt.Assert(t, s.Scheduling(), qt.Equals, serving.Default().Scheduling())
		})
	}
}

// TestParse guards against a file that sets one switch and thereby clears the others, and against a misspelt name that is ignored.
func TestParse(t *testing.T) {
	all := serving.Default().Scheduling()
	withoutCopies := all
	withoutCopies.Copies = false
	for name, test := range map[string]struct {
		text  string
		want  serving.Scheduling
		fails string
	}{
		"empty":    {text: "", want: all},
		"comment":  {text: "# nothing\n", want: all},
		"one off":  {text: "scheduling:\n  copies: false\n", want: withoutCopies},
		"misspelt": {text: "scheduling:\n  copys: false\n", fails: `(?s).*copys.*`},
		"no bool":  {text: "scheduling:\n  copies: often\n", fails: `(?s).*often.*`},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := serving.Parse([]byte(test.text))
			if test.fails != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.fails)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, s.Scheduling(), qt.Equals, test.want)
		})
	}
}

// TestFor guards against parts that take the processor time of the leader of a large fleet, and against a limit that is in force where none is set.
func TestFor(t *testing.T) {
	all := serving.Default().Scheduling()
	qt.Assert(t, all.For(all.MaxWorkers), qt.Equals, all)
	qt.Assert(t, all.For(all.MaxWorkers+1), qt.Equals, serving.Scheduling{MaxWorkers: all.MaxWorkers})
	unlimited := serving.Scheduling{Copies: true}
	qt.Assert(t, unlimited.For(1_000_000), qt.Equals, unlimited)
}
