package connection

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/chivetiller/chivetiller/common/problem"
)

// FaultKind says how an exchange failed.
type FaultKind string

// Kinds of faults.
const (
	// FaultCheck means that the check before the first byte failed. Nothing was sent.
	FaultCheck FaultKind = "check"
	// FaultConnection means that the connection broke.
	FaultConnection FaultKind = "connection"
	// FaultTimeout means that there was no complete response before the deadline.
	FaultTimeout FaultKind = "timeout"
	// FaultCancelled means that the caller's context ended.
	FaultCancelled FaultKind = "cancelled"
	// FaultMalformed means that the response is not valid HTTP.
	FaultMalformed FaultKind = "malformed"
	// FaultTruncated means that the body of the response is incomplete, or that nothing marks its end.
	FaultTruncated FaultKind = "truncated"
	// FaultDigest means that Content-Digest does not match the body.
	FaultDigest FaultKind = "digest"
	// FaultRequestID means that the response does not have the ID of the request.
	FaultRequestID FaultKind = "requestId"
	// FaultTooLarge means that the response exceeds the limits.
	FaultTooLarge FaultKind = "tooLarge"
)

// Fault is a failed exchange.
type Fault struct {
	Kind FaultKind
	// Sent says that the endpoint may have received at least a part of the request.
	Sent bool
	Err  error
}

// Error returns the kind and the cause.
func (f *Fault) Error() string { return fmt.Sprintf("%s: %v", f.Kind, f.Err) }

// Unwrap returns the cause.
func (f *Fault) Unwrap() error { return f.Err }

// maxInformational is the number of 1xx responses that is accepted before the final response.
const maxInformational = 5

// readResponse reads and checks the complete response to the request.
func (c *Conn) readResponse(ctx context.Context, r *Request, request *http.Request) (*Response, error) {
	response, err := c.readHead(request)
	if err != nil {
		return nil, c.newFault(ctx, headFaultKind(err), err)
	}
	if got := response.Header[requestIDKey]; len(got) != 1 || got[0] != r.ID {
		return nil, c.newFault(ctx, FaultRequestID, fmt.Errorf("response names request %q instead of %q", got, r.ID))
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && request.Method != http.MethodHead {
		return nil, c.newFault(ctx, FaultTruncated, errors.New("response has neither a length nor chunks"))
	}
	body, err := c.readBody(response)
	if err != nil {
		return nil, c.newFault(ctx, bodyFaultKind(err), err)
	}
	if hasContent(request.Method, response.StatusCode) {
		if err := checkDigest(response.Header["Content-Digest"], body); err != nil {
			return nil, c.newFault(ctx, FaultDigest, err)
		}
	}
	// After a response with excess bytes, the next response on this connection could not be told apart from them.
	c.reusable = !response.Close && c.reader.Buffered() == 0
	notRun := response.Header[notRunKey]
	return &Response{
		Status: response.StatusCode,
		Header: response.Header,
		Body:   body,
		NotRun: len(notRun) == 1 && notRun[0] == "true",
	}, nil
}

var notRunKey = http.CanonicalHeaderKey(problem.HeaderNotRun)

// readHead reads the head of the final response and skips informational ones.
func (c *Conn) readHead(request *http.Request) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		switch status := response.StatusCode; {
		case status < 100 || status > 599 || status == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("status %d is not valid here", status)
		case status >= http.StatusOK:
			return response, nil
		}
	}
	return nil, errors.New("too many informational responses")
}

func headFaultKind(err error) FaultKind {
	var broken *net.OpError
	switch {
	case errors.Is(err, errTooLong):
		return FaultTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken):
		return FaultConnection
	}
	return FaultMalformed
}

func bodyFaultKind(err error) FaultKind {
	if errors.Is(err, errTooLong) {
		return FaultTooLarge
	}
	return FaultTruncated
}

// readBody reads a body up to the limit. A length that is announced is checked before anything is read.
func (c *Conn) readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	length := response.ContentLength
	if length > int64(c.limits.MaxBody) && response.Request.Method != http.MethodHead {
		return nil, errTooLong
	}
	if length == 0 || response.Body == http.NoBody {
		return nil, nil
	}
	if length > 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.limits.MaxBody)+1))
	if err == nil && len(body) > c.limits.MaxBody {
		err = errTooLong
	}
	return body, err
}

// hasContent reports whether a response has content that its digest covers.
func hasContent(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

const digestName = "sha-256=:"

// checkDigest compares a body with the SHA-256 digest of a Content-Digest header (RFC 9530), if there is one.
func checkDigest(values []string, body []byte) error {
	for _, value := range values {
		for member := range strings.SplitSeq(value, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(member), digestName)
			if !ok {
				continue
			}
			text, _, ok = strings.Cut(text, ":")
			want, err := base64.StdEncoding.DecodeString(text)
			if !ok || err != nil {
				return fmt.Errorf("Content-Digest %q is not valid", value)
			}
			got := sha256.Sum256(body)
			if subtle.ConstantTimeCompare(got[:], want) != 1 {
				return errors.New("body does not match its Content-Digest")
			}
		}
	}
	return nil
}
