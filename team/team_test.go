package team_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/team"
)

// TestKeys guards against keys that are accepted although they are unknown, revoked or malformed, or have a wrong
// secret.
func TestKeys(t *testing.T) {
	key, spec, err := team.NewKey("desk1")
	qt.Assert(t, err, qt.IsNil)
	other, otherSpec, err := team.NewKey("desk2")
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		keys []team.KeySpec
		show string
		want bool
	}{
		"own key":         {keys: []team.KeySpec{spec, otherSpec}, show: key, want: true},
		"second key":      {keys: []team.KeySpec{spec, otherSpec}, show: other, want: true},
		"revoked key":     {keys: []team.KeySpec{otherSpec}, show: key},
		"other secret":    {keys: []team.KeySpec{spec}, show: "desk1." + strings.TrimPrefix(other, "desk2.")},
		"changed secret":  {keys: []team.KeySpec{spec}, show: key[:len(key)-1] + "-"},
		"only the ID":     {keys: []team.KeySpec{spec}, show: "desk1"},
		"empty":           {keys: []team.KeySpec{spec}, show: ""},
		"empty secret":    {keys: []team.KeySpec{spec}, show: "desk1."},
		"hash as the key": {keys: []team.KeySpec{spec}, show: "desk1." + spec.Hash},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, err := team.New(team.Spec{Name: "desk", Share: 1, UpperLimit: 1, Keys: tt.keys})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, a.VerifyKey(tt.show), qt.Equals, tt.want)
		})
	}
	qt.Assert(t, strings.Contains(fmt.Sprintf("%+v", spec), strings.TrimPrefix(key, "desk1.")), qt.IsFalse)
}

// TestNew guards against teams that are accepted without a valid name, share, upper limit or keys.
func TestNew(t *testing.T) {
	_, key, err := team.NewKey("k")
	qt.Assert(t, err, qt.IsNil)
	tests := map[string]struct {
		spec team.Spec
		want string
	}{
		"no name":   {spec: team.Spec{Share: 1, UpperLimit: 1}, want: "team has no name"},
		"no share":  {spec: team.Spec{Name: "a", UpperLimit: 1}, want: `team "a": share 0 is not greater than 0`},
		"no limit":  {spec: team.Spec{Name: "a", Share: 1}, want: `team "a": upper limit 0 is less than 1`},
		"key twice": {spec: team.Spec{Name: "a", Share: 1, UpperLimit: 1, Keys: []team.KeySpec{key, key}}, want: `team "a": key ID "k" is empty or used twice`},
		"bad salt":  {spec: team.Spec{Name: "a", Share: 1, UpperLimit: 1, Keys: []team.KeySpec{{ID: "k", Salt: "*"}}}, want: `team "a": salt of key "k" is not base64`},
		"bad hash":  {spec: team.Spec{Name: "a", Share: 1, UpperLimit: 1, Keys: []team.KeySpec{{ID: "k", Hash: "QUJD"}}}, want: `team "a": hash of key "k" is not a SHA-256 hash in base64`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := team.New(tt.spec)
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}
