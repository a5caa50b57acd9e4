package page_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/burn/page"
)

// TestWrite guards against a format that leaves out a class or a gap, and against class names that break the HTML
// page.
func TestWrite(t *testing.T) {
	noon := time.Date(2030, 5, 1, 12, 0, 0, 0, time.UTC)
	r := burn.NewRecorder("one-1", 1, noon)
	r.Record("<b>quote", "workshops", burn.Met)
	r.CloseBucket(noon)
	r.Record("<b>quote", "workshops", burn.Late)
	report := burn.NewReport(noon.Add(11*time.Minute), map[string]float64{"<b>quote": 0.99}, r.CloseBucket(noon.Add(10*time.Minute)))

	tests := map[page.Format]struct{ has []string }{
		page.Text: {has: []string{"<b>quote  (all)", "workshops", "50.00", "gap: nothing is known from 2030-05-01T12:01:00Z to 2030-05-01T12:10:00Z"}},
		page.JSON: {has: []string{`"burnRate": 49.9`, `"window": "3d"`, `"gaps": [`}},
		page.HTML: {has: []string{"&lt;b&gt;quote", "<svg", "Gaps", "2030-05-01 12:01 UTC to 2030-05-01 12:10 UTC"}},
	}
	for format, tt := range tests {
		t.Run(string(format), func(t *testing.T) {
			var out bytes.Buffer
			qt.Assert(t, page.Write(&out, report, format), qt.IsNil)
			for _, text := range tt.has {
				qt.Check(t, strings.Contains(out.String(), text), qt.IsTrue, qt.Commentf("%q is missing in:\n%s", text, out.String()))
			}
			if format == page.HTML {
				qt.Check(t, strings.Contains(out.String(), "<b>quote"), qt.IsFalse)
			}
			if format == page.JSON {
				qt.Check(t, json.Valid(out.Bytes()), qt.IsTrue)
			}
		})
	}
	qt.Assert(t, page.Write(&bytes.Buffer{}, report, "pdf"), qt.ErrorMatches, `format "pdf" is none of text, json and html`)
}
