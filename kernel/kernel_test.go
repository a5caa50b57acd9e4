package kernel_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/kernel"
)

// TestStartOrder guards against services that start before those that they need, or stop after them.
func TestStartOrder(t *testing.T) {
	broken := errors.New("broken")
	tests := map[string]struct {
		needs   map[string][]string
		fails   string
		events  []string
		wantErr string
	}{
		"chain": {
			needs:  map[string][]string{"a": {"b"}, "b": {"c"}, "c": nil},
			events: []string{"+c", "+b", "+a", "-a", "-b", "-c"},
		},
		"failure stops what was started": {
			needs:   map[string][]string{"a": {"b"}, "b": {"c"}, "c": nil},
			fails:   "b",
			events:  []string{"+c", "-c"},
			wantErr: `(?s).*start service "b".*`,
		},
		"missing": {needs: map[string][]string{"a": {"x"}}, wantErr: `service "a" needs service "x", which is not registered`},
		"cycle":   {needs: map[string][]string{"a": {"b"}, "b": {"a"}}, wantErr: `service "a" needs itself through service "b"`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var events []string
			k := kernel.New(hclog.NewNullLogger())
			for _, service := range []string{"a", "b", "c"} {
				needs, ok := tt.needs[service]
				if !ok {
					continue
				}
				err := k.Register(kernel.Service{
					Name:  service,
					Needs: needs,
					Start: func(context.Context) error {
						if service == tt.fails {
							return broken
						}
						events = append(events, "+"+service)
						return nil
					},
					Stop: func(context.Context) error {
						events = append(events, "-"+service)
						return nil
					},
				})
				qt.Assert(t, err, qt.IsNil)
			}
			err := k.Start(t.Context())
			if tt.wantErr != "" {
				qt.Assert(t, err, qt.ErrorMatches, tt.wantErr)
			} else {
				qt.Assert(t, err, qt.IsNil)
			}
			qt.Assert(t, k.Stop(t.Context()), qt.IsNil)
			qt.Assert(t, events, qt.DeepEquals, tt.events)
		})
	}
}

// TestFind guards against a service that is found by name but lacks the methods of the requested interface.
func TestFind(t *testing.T) {
	k := kernel.New(hclog.NewNullLogger())
	qt.Assert(t, k.Register(kernel.Service{Name: "number", Value: 7}), qt.IsNil)
	qt.Assert(t, k.Register(kernel.Service{Name: "number"}), qt.ErrorMatches, `service "number" is registered twice`)
	n, err := kernel.Find[int](k, "number")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 7)
	_, err = kernel.Find[string](k, "number")
	qt.Assert(t, err, qt.ErrorMatches, `service "number" is a int, .*`)
	_, err = kernel.Find[int](k, "letter")
	qt.Assert(t, err, qt.ErrorMatches, `service "letter" is not registered`)
}
