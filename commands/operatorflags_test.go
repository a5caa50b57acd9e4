package commands

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"
)

// TestFleetCommands guards against commands that call the wrong route, hide the reason for a rejection or return the
// wrong kind of error.
func TestFleetCommands(t *testing.T) {
	tests := map[string]struct {
		command *cobra.Command
		args    []string
		status  int
		body    string
		request string
		output  string
		err     string
		usage   bool
	}{
		"start": {
			command: newWaveCommand(), args: []string{"start", "kernel", "--pool", "shiftDesk"}, status: 200,
			body:    `{"name":"kernel","state":"running","pools":[{"pool":"shiftDesk","size":10,"pending":10}]}`,
			request: `POST /operator/waves`, output: `(?s)NAME .*kernel  running  10 .*`,
		},
		"pause":  {command: newWaveCommand(), args: []string{"pause", "a b"}, status: 200, body: `{"name":"a b","state":"paused"}`, request: `POST /operator/waves/a%20b/pause`, output: `(?s).*paused.*`},
		"assign": {command: newInstanceCommand(), args: []string{"assign", "w", "p", "--output", "json"}, status: 200, body: `{"id":"w","pool":"p"}`, request: `PUT /operator/instances/w/pool`, output: `(?s).*"pool": "p".*`},
		"cancel": {command: newJobCommand(), args: []string{"cancel", "dc1.x"}, status: 200, body: `{"id":"dc1.x","state":"cancelled"}`, request: `DELETE /operator/jobs/dc1.x`, output: `(?s).*cancelled.*`},
		"refused": {
			command: newJobCommand(), args: []string{"submit", "--kind", "k"}, status: 422, body: `{"title":"Invalid request","detail":"unknown team \"\""}`,
			request: `POST /operator/jobs`, err: `Invalid request: unknown team ""`, usage: true,
		},
		"conflict":     {command: newWaveCommand(), args: []string{"show", "x"}, status: 409, body: `{}`, request: `GET /operator/waves/x`, err: `operator API responded with status 409`},
		"wrong output": {command: newWaveCommand(), args: []string{"list", "--output", "xml"}, err: `output "xml" is neither table nor json`, usage: true},
		"no name":      {command: newWaveCommand(), args: []string{"show"}, err: `accepts 1 arg\(s\), received 0`, usage: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var request string
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				request = r.Method + " " + r.URL.EscapedPath()
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			}))
			defer server.Close()
			var out bytes.Buffer
			tt.command.SetArgs(append(tt.args, "--operator", server.URL))
			tt.command.SetOut(&out)
			tt.command.SilenceErrors, tt.command.SilenceUsage = true, true
			err := tt.command.ExecuteContext(t.Context())
			qt.Assert(t, request, qt.Equals, tt.request)
			if tt.err != "" {
				qt.Assert(t, err, qt.ErrorMatches, tt.err)
				var usage *usageError
				qt.Assert(t, errors.As(err, &usage), qt.Equals, tt.usage)
				return
			}
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, out.String(), qt.Matches, tt.output)
		})
	}
}
