package dispatch

import (
	"net/http"
	"net/url"
	"time"

	"github.com/chivetiller/chivetiller/dispatch/connection"
)

// Request is a request of a caller with its whole body.
type Request struct {
	ID    string
	Class string
	// Team is empty for work of open classes, which counts against no upper limit.
	Team     string
	Arrival  time.Time
	Deadline time.Time
	// Idempotent says that the request may be sent more than once. Only such requests are hedged.
	Idempotent bool
	Method     string
	// URL has the path and query for the endpoint.
	URL    *url.URL
	Header http.Header
	Body   []byte
	// CheckBeforeSend is called in each attempt, right before the first byte is sent to the endpoint. If it fails,
	// nothing is sent. It may be nil.
	CheckBeforeSend func() error
}

// Response is the complete response of an endpoint.
type Response = connection.Response
