package class_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/class"
)

// TestNew guards against classes that are accepted without a valid name, pool, target, share or objective.
func TestNew(t *testing.T) {
	valid := class.Spec{Name: "quote", Pool: "counter", Target: "300ms", Share: 1}
	tests := map[string]struct {
		change func(s *class.Spec)
		want   string
	}{
		"no name":         {change: func(s *class.Spec) { s.Name = "" }, want: `class has no name`},
		"no pool":         {change: func(s *class.Spec) { s.Pool = "" }, want: `class "quote" names no pool`},
		"no target":       {change: func(s *class.Spec) { s.Target = "" }, want: `class "quote": target "" is not a positive duration`},
		"negative target": {change: func(s *class.Spec) { s.Target = "-1s" }, want: `class "quote": target "-1s" is not .*`},
		"long target":     {change: func(s *class.Spec) { s.Target = "61s" }, want: `class "quote": target 1m1s is longer than 1m0s; submit longer work as a job`},
		"no share":        {change: func(s *class.Spec) { s.Share = 0 }, want: `class "quote": share 0 is not greater than 0`},
		"objective of 1":  {change: func(s *class.Spec) { s.Objective = 1 }, want: `class "quote": objective 1 is not between 0 and 1`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			spec := valid
			tt.change(&spec)
			_, err := class.New(spec)
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
	c, err := class.New(valid)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.Target(), qt.Equals, 300*time.Millisecond)
	qt.Assert(t, c.Objective(), qt.Equals, class.DefaultObjective)
}

func ExampleNew() {
	c, err := class.New(class.Spec{Name: "counterQuote", Pool: "counterPricing", Target: "300ms", Share: 0.5})
	fmt.Println(c.Name(), c.Target(), err)
	// Output: counterQuote 300ms <nil>
}
