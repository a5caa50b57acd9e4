package problem_test

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/common/problem"
)

// TestWrite guards against documents that state both or neither of "not run" and "unknown", and against a
// Retry-After of 0 s, which makes callers retry at once.
func TestWrite(t *testing.T) {
	tests := map[string]struct {
		problem        *problem.Problem
		wantStatus     int
		wantRetryAfter string
		want           string
	}{
		"not run": {
			problem: problem.NotRun(problem.Late, "queue").RetryAfter(50 * time.Millisecond), wantStatus: 503, wantRetryAfter: "1",
			want: `{"type":"urn:chivetiller:problem:late","title":"Request cannot finish before its deadline","status":503,"detail":"queue","requestId":"r","notRun":true}`,
		},
		"unknown": {
			problem: problem.Unknown(problem.EndpointFailed, ""), wantStatus: 502,
			want: `{"type":"urn:chivetiller:problem:endpointFailed","title":"Endpoint failed","status":502,"requestId":"r","outcome":"unknown"}`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := httptest.NewRecorder()
			c.Assert(test.problem.Write(w, "r"), qt.IsNil)
			c.Assert(w.Code, qt.Equals, test.wantStatus)
			c.Assert(w.Header().Get("Retry-After"), qt.Equals, test.wantRetryAfter)
			c.Assert(w.Header().Get("Content-Type"), qt.Equals, problem.ContentType)
			c.Assert(json.Valid(w.Body.Bytes()), qt.IsTrue)
			c.Assert(w.Body.String(), qt.Equals, test.want)
		})
	}
}
