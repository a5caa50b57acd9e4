package serving_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/settings/serving"
)

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
