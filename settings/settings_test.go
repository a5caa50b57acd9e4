package settings_test

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/settings"
)

const valid = `name: one-1
dataCentre: one
listen:
  callers: 127.0.0.1:8080
  operators: 127.0.0.1:8081
  peers: 127.0.0.1:8080
platform:
  url: http://127.0.0.1:9000
keys:
  freshness: 1500ms
`

// TestParseDefaults guards against a setting that is zero because it is not in the file.
func TestParseDefaults(t *testing.T) {
	s, err := settings.Parse("entry.yaml", []byte(valid))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s.Name(), qt.Equals, "one-1")
	qt.Assert(t, s.Keys().Freshness, qt.Equals, 1500*time.Millisecond)
	qt.Assert(t, s.Keys().WhenUnreachable, qt.Equals, settings.WhenUnreachableRefuse)
	qt.Assert(t, s.Limits().BodyBytes, qt.Equals, int64(1<<20))
}

// TestParseFaults guards against an invalid setting that is accepted, or reported without its position.
func TestParseFaults(t *testing.T) {
	tests := map[string]struct {
		text string
		want string
	}{
		"unknown key":      {text: valid + "colour: red\n", want: `entry\.yaml:11: colour: unknown field "colour"`},
		"wrong type":       {text: valid + "limits:\n  bodyBytes: many\n", want: `entry\.yaml:12: many: cannot unmarshal.*`},
		"wrong duration":   {text: valid + "stop:\n  timeout: soon\n", want: `entry\.yaml:12: time: invalid duration "soon"`},
		"duplicate key":    {text: valid + "name: two\n", want: `entry\.yaml:11: name: .*`},
		"not a mapping":    {text: "- 1\n", want: `entry\.yaml:1: .*`},
		"broken syntax":    {text: "name: [\n", want: `entry\.yaml:1: .*`},
		"host name":        {text: valid + "peers:\n- {name: b, address: 'localhost:1'}\ncertificates: {authority: a, certificate: b, key: c}\n", want: `entry\.yaml:12: peers\[0\]\.address: "localhost:1" is not an IP address with a port`},
		"duplicate peer":   {text: valid + "peers:\n- {name: b, address: '127.0.0.1:1'}\n- {name: b, address: '127.0.0.1:2'}\ncertificates: {authority: a, certificate: b, key: c}\n", want: `entry\.yaml:13: peers\[1\]\.name: "b" is already the name of peers\[0\]`},
		"no certificates":  {text: valid + "peers:\n- {name: b, address: '127.0.0.1:1'}\n", want: `(?s)entry\.yaml: certificates\.authority: is missing.*`},
		"negative":         {text: valid + "allotments:\n  term: -1s\n", want: `entry\.yaml:12: allotments\.term: -1s is not greater than 0`},
		"short allotments": {text: valid + "  whenCutOff: bounded\n  term: 5m\n", want: `entry\.yaml: allotments\.term: 30s is shorter than keys\.term 5m0s, so that keyed work would end before`},
		"little memory":    {text: valid + "limits:\n  memoryBytes: 20000000\n", want: `entry\.yaml:12: limits\.memoryBytes: 20000000 is less than 21 times limits\.bodyBytes, so that callers would not have room for a body`},
		"no memory":        {text: valid + "limits:\n  memoryBytes: -1\n", want: `entry\.yaml:12: limits\.memoryBytes: -1 is less than .*`},
		"two faults":       {text: valid + "log:\n  level: loud\n  format: xml\n", want: "entry.yaml:12: log.level: \"loud\" is not one of .*\nentry.yaml:13: log.format: \"xml\" is not one of .*"},
		"empty":            {text: "", want: `(?s)entry\.yaml: name: is missing.*platform\.url: is missing`},
		"shared address":   {text: "name: a\ndataCentre: b\nlisten: {callers: '127.0.0.1:1', operators: '127.0.0.1:1', peers: '127.0.0.1:1'}\nplatform: {url: 'http://127.0.0.1:9'}\n", want: `entry\.yaml:3: listen\.operators: 127\.0\.0\.1:1 is also the address of listen\.callers`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("entry.yaml", []byte(tt.text))
			qt.Assert(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// TestLoadMissingFile guards against an error that does not name the file.
func TestLoadMissingFile(t *testing.T) {
	_, err := settings.Load("missing.yaml")
	qt.Assert(t, err, qt.ErrorMatches, `missing\.yaml: no such file or directory`)
}

// FuzzParse guards against settings that cause a panic or an error without a message.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("name: &a [*a]\n"))
	f.Add([]byte("peers:\n- {name: b}\n- 3\n"))
	if data, err := os.ReadFile("testdata/entry.yaml"); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := settings.Parse("entry.yaml", data); err != nil && err.Error() == "" {
			t.Fatal("error without a message")
		}
	})
}
