// Package problem builds the problem documents (RFC 9457) that are the responses to rejected and failed requests.
// Each states whether the request ran: NotRun is true if it certainly did not, otherwise the outcome is unknown.
//
// # Usage
//
//	p := problem.NotRun(problem.UnknownClass, "class \"dye\" does not exist")
//	p.Write(w, requestID)
//
// A *Problem is also an error, so that functions that handle a request can return it.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// ContentType is the media type of a problem document.
const ContentType = "application/problem+json"

// Headers of responses, set by entry instances and endpoints.
const (
	// HeaderRequestID identifies the request. The entry instance sets it, and the endpoint echoes it.
	HeaderRequestID = "Chivetiller-Request-Id"
	// HeaderNotRun on a response of an endpoint says that the endpoint did not act on the request.
	HeaderNotRun = "Chivetiller-Not-Run"
)

// OutcomeUnknown is the value of Document.Outcome if the request may have run.
const OutcomeUnknown = "unknown"

// typePrefix turns the name of a kind into the URI of a problem type.
const typePrefix = "urn:chivetiller:problem:"

// Kind is a kind of problem, with the name in its type URI, its HTTP status and its title.
type Kind struct {
	Name   string
	Status int
	Title  string
}

// Kinds of problems.
var (
	Malformed       = Kind{"malformed", http.StatusBadRequest, "Request is malformed"}
	BodyTooLarge    = Kind{"bodyTooLarge", http.StatusRequestEntityTooLarge, "Body is too large"}
	HeaderTooLarge  = Kind{"headerTooLarge", http.StatusRequestHeaderFieldsTooLarge, "Header is too large"}
	SlowCaller      = Kind{"slowCaller", http.StatusRequestTimeout, "Request arrived too slowly"}
	InvalidKey      = Kind{"invalidKey", http.StatusUnauthorized, "Key is missing or not valid"}
	UnknownClass    = Kind{"unknownClass", http.StatusNotFound, "Class does not exist"}
	UnknownRoute    = Kind{"unknownRoute", http.StatusNotFound, "Route does not exist"}
	Claimed         = Kind{"claimed", http.StatusConflict, "Idempotency-Key is in use"}
	KeyReused       = Kind{"keyReused", http.StatusUnprocessableEntity, "Idempotency-Key was used for another request"}
	UpperLimit      = Kind{"upperLimit", http.StatusTooManyRequests, "Team is at its upper limit"}
	OverShare       = Kind{"overShare", http.StatusTooManyRequests, "Team is over its share"}
	Late            = Kind{"late", http.StatusServiceUnavailable, "Request cannot finish before its deadline"}
	NoEndpoint      = Kind{"noEndpoint", http.StatusServiceUnavailable, "No endpoint can take the request"}
	Stopping        = Kind{"stopping", http.StatusServiceUnavailable, "Entry instance is stopping"}
	KeysUnchecked   = Kind{"keysUnchecked", http.StatusServiceUnavailable, "Keys cannot be checked"}
	ClaimsUnchecked = Kind{"claimsUnchecked", http.StatusServiceUnavailable, "Claim cannot be written"}
	EndpointFailed  = Kind{"endpointFailed", http.StatusBadGateway, "Endpoint failed"}
	EndpointTimeout = Kind{"endpointTimeout", http.StatusGatewayTimeout, "Endpoint did not respond in time"}
	Cancelled       = Kind{"cancelled", statusClientClosed, "Caller went away"}
	NotReady        = Kind{"notReady", http.StatusServiceUnavailable, "Entry instance is not ready"}
	LimitsUnchecked = Kind{"limitsUnchecked", http.StatusServiceUnavailable, "Upper limit cannot be checked"}
	QueueFull       = Kind{"queueFull", http.StatusServiceUnavailable, "Queue is full"}
	Overloaded      = Kind{"overloaded", http.StatusServiceUnavailable, "Clients hold too much of the entry instance"}
	Internal        = Kind{"internal", http.StatusInternalServerError, "Internal error"}
)

// statusClientClosed is never sent, since the caller has closed the connection. It marks the outcome in metrics.
const statusClientClosed = 499

// Problem is a rejected or failed request.
type Problem struct {
	kind       Kind
	notRun     bool
	detail     string
	retryAfter time.Duration
}

var _ error = (*Problem)(nil)

// NotRun returns the problem of a request that certainly had no effect.
func NotRun(kind Kind, detail string) *Problem {
	return &Problem{kind: kind, notRun: true, detail: detail}
}

// Unknown returns the problem of a request that may have had an effect.
func Unknown(kind Kind, detail string) *Problem {
	return &Problem{kind: kind, detail: detail}
}

// RetryAfter returns a copy that tells the caller when a retry can succeed. Durations are rounded up to seconds.
func (p *Problem) RetryAfter(d time.Duration) *Problem {
	q := *p
	q.retryAfter = max(d, time.Nanosecond)
	return &q
}

// Error returns the title and the detail.
func (p *Problem) Error() string {
	if p.detail == "" {
		return p.kind.Title
	}
	return p.kind.Title + ": " + p.detail
}

// Kind returns the kind of the problem.
func (p *Problem) Kind() Kind { return p.kind }

// NotRun reports whether the request certainly had no effect.
func (p *Problem) NotRun() bool { return p.notRun }

// Detail returns the description of this occurrence, or "" if there is none.
func (p *Problem) Detail() string { return p.detail }

// Document is the JSON form of a problem.
type Document struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	NotRun    bool   `json:"notRun,omitempty"`
	Outcome   string `json:"outcome,omitempty"`
}

// Document returns the JSON form of the problem with the ID of the request.
func (p *Problem) Document(requestID string) Document {
	d := Document{
		Type:      typePrefix + p.kind.Name,
		Title:     p.kind.Title,
		Status:    p.kind.Status,
		Detail:    p.detail,
		RequestID: requestID,
		NotRun:    p.notRun,
	}
	if !p.notRun {
		d.Outcome = OutcomeUnknown
	}
	return d
}

// JSON returns the encoded document.
func (p *Problem) JSON(requestID string) []byte {
	// A Document holds only strings, a number and a flag, so encoding cannot fail.
	data, _ := json.Marshal(p.Document(requestID))
	return data
}

// Write sends the document as the response, with the headers that belong to it. It returns the error of the write.
func (p *Problem) Write(w http.ResponseWriter, requestID string) error {
	body := p.JSON(requestID)
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	if p.kind.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.kind.Status)
	_, err := w.Write(body)
	return err
}
