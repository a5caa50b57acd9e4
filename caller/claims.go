package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chivetiller/chivetiller/claim"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/dispatch"
)

// openClassScope is the claim scope of open classes, which have no team. No team can be named like this,
// because names of documents contain no slash.
const openClassScope = "/open/"

// storedResponse is the CBOR form of a response that is stored with its claim.
type storedResponse struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint"`
	Body   []byte      `cbor:"3,keyasint"`
}

// dispatchClaimed claims the idempotency key, dispatches the request, and stores its response with the claim.
// The returned response may be the stored one of an earlier request.
func (e *exchange) dispatchClaimed(request *dispatch.Request) (response *dispatch.Response, stored bool, p *problem.Problem) {
	scope := e.team
	if e.class.Open() {
		scope = openClassScope + e.class.Name()
	}
	sum := requestDigest(e.r.Method, e.r.URL.RequestURI(), request.Body)
	ctx, cancel := context.WithDeadline(e.r.Context(), request.Deadline)
	defer cancel()
	c, err := e.server.options.Claims.Claim(ctx, scope, e.head.idempotencyKey, sum)
	if err != nil {
		return e.claimFailed(err)
	}
	response, p = e.dispatch(context.WithoutCancel(e.r.Context()), request)
	switch {
	case p == nil:
		c.Done(encodeResponse(response))
	case p.NotRun():
		c.Release()
	}
	// If the outcome is unknown, the claim is kept, so that a retry can't run the request a second time.
	return response, false, p
}

// claimFailed returns the stored response or the problem for a request whose key is taken or cannot be claimed.
func (e *exchange) claimFailed(err error) (*dispatch.Response, bool, *problem.Problem) {
	var taken *claim.TakenError
	switch {
	case errors.As(err, &taken) && taken.Stored:
		response, err := decodeResponse(taken.Response)
		if err != nil {
			return nil, false, problem.Unknown(problem.Claimed, "the stored response cannot be read")
		}
		return response, true, nil
	case errors.As(err, &taken) && taken.Done:
		return nil, false, problem.Unknown(problem.Claimed, "an earlier request with this key ran; its response was too large to store")
	case errors.As(err, &taken):
		return nil, false, problem.Unknown(problem.Claimed, "an earlier request with this key runs, or its outcome is unknown")
	case errors.Is(err, claim.ErrMismatch):
		return nil, false, problem.NotRun(problem.KeyReused, "method, path or body differ from those of the earlier request")
	}
	return nil, false, problem.NotRun(problem.ClaimsUnchecked, "claim could not be written in time").RetryAfter(time.Second)
}

func encodeResponse(r *dispatch.Response) []byte {
	// The type holds only strings, numbers and bytes, so encoding cannot fail.
	data, _ := cbor.Marshal(storedResponse{Status: r.Status, Header: r.Header, Body: r.Body})
	return data
}

func decodeResponse(data []byte) (*dispatch.Response, error) {
	var s storedResponse
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, err
	}
	return &dispatch.Response{Status: s.Status, Header: s.Header, Body: s.Body}, nil
}
