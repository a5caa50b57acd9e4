package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/team"
)

const (
	// requestTimeout is longer than the server waits for a change to be in force everywhere.
	requestTimeout = 15 * time.Second
	// maxTries bounds how often a request without a response is sent. Its operation ID makes a retry safe.
	maxTries = 4
)

// Client calls the API of one entry instance. It is safe for concurrent use.
type Client struct {
	base string
	key  string
	http *http.Client
}

// Error is a problem document that the API sent.
type Error struct{ document problemDocument }

// Error returns one line for each problem of a configuration document, or else the title and the detail.
func (e *Error) Error() string {
	if len(e.document.Problems) > 0 {
		return (&config.Invalid{Problems: e.document.Problems}).Error()
	}
	return e.document.Title + ": " + e.document.Detail
}

// Status returns the HTTP status.
func (e *Error) Status() int { return e.document.Status }

// Kind returns the name of the kind of problem.
func (e *Error) Kind() string { return e.document.Type[strings.LastIndex(e.document.Type, ":")+1:] }

// NotRun reports whether the request certainly had no effect.
func (e *Error) NotRun() bool { return e.document.NotRun }

// Changes returns the changes of a conflict.
func (e *Error) Changes() []config.Change { return e.document.Changes }

// NewClient returns a client of the entry instance at the URL.
func NewClient(base, key string) (*Client, error) {
	parsed, err := url.Parse(base)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return nil, eris.Errorf("operator %q is not an http or https URL", base)
	}
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: &http.Client{Timeout: requestTimeout}}, nil
}

// Apply changes the configuration.
func (c *Client) Apply(ctx context.Context, r ApplyRequest) (Change, error) {
	if r.OperationID == "" {
		r.OperationID = ident.New()
	}
	var change Change
	err := c.call(ctx, http.MethodPost, pathApply, nil, r, &change)
	return change, err
}

// Get returns the version and the documents of a kind, or all if the kind is empty. Name may be empty too.
func (c *Client) Get(ctx context.Context, kind config.Kind, name string) (uint64, []config.Document, error) {
	var list documentList
	query := url.Values{"kind": {string(kind)}, "name": {name}}
	err := c.call(ctx, http.MethodGet, pathConfig, query, nil, &list)
	return list.Version, list.Documents, err
}

// Export returns the whole set in the form that an import reads.
func (c *Client) Export(ctx context.Context) ([]byte, error) {
	var data []byte
	err := c.call(ctx, http.MethodGet, pathConfig, url.Values{"format": {"yaml"}}, nil, &data)
	return data, err
}

// History returns up to limit changes with versions lower than before, the latest first. If before is 0, it starts
// at the current version.
func (c *Client) History(ctx context.Context, before uint64, limit int) ([]config.Change, error) {
	var changes []config.Change
	query := url.Values{"before": {strconv.FormatUint(before, 10)}, "limit": {strconv.Itoa(limit)}}
	err := c.call(ctx, http.MethodGet, pathHistory, query, nil, &changes)
	return changes, err
}

// Status returns the configuration version of each entry instance.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, pathStatus, nil, nil, &status)
	return status, err
}

// CreateKey issues a key for a team and returns it. Only its hash is stored.
func (c *Client) CreateKey(ctx context.Context, teamName string) (string, Change, error) {
	path := strings.Replace(pathTeamKeys, "{team}", url.PathEscape(teamName), 1)
	return c.createKey(ctx, path, nil, teamName)
}

// CreateOperatorKey issues an operator key with a name and returns it.
func (c *Client) CreateOperatorKey(ctx context.Context, name string) (string, Change, error) {
	return c.createKey(ctx, pathOperatorKeys, url.Values{"name": {name}}, name)
}

func (c *Client) createKey(ctx context.Context, path string, query url.Values, name string) (string, Change, error) {
	const suffixLength = 8
	key, spec, err := team.NewKey(name + "-" + uuid.NewString()[:suffixLength])
	if err != nil {
		return "", Change{}, err
	}
	var change Change
	err = c.call(ctx, http.MethodPost, path, query, CreateKeyRequest{OperationID: ident.New(), Key: spec}, &change)
	return key, change, err
}

// RevokeKey revokes a key of a team. The ID is the part of the key before the dot.
func (c *Client) RevokeKey(ctx context.Context, teamName, id string) (Change, error) {
	path := strings.NewReplacer("{team}", url.PathEscape(teamName), "{id}", url.PathEscape(id)).Replace(pathTeamKey)
	var change Change
	err := c.call(ctx, http.MethodDelete, path, url.Values{"operationId": {ident.New()}}, nil, &change)
	return change, err
}

// call sends a request and retries it if no response arrives or the platform is unavailable.
// The response is decoded into out; a *[]byte receives the raw body.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := c.callOnce(ctx, method, path, body, out)
		var problemErr *Error
		if errors.As(err, &problemErr) && problemErr.Status() < http.StatusBadGateway {
			return struct{}{}, backoff.Permanent(err)
		}
		return struct{}{}, err
	}, backoff.WithMaxTries(maxTries))
	return err
}

// callOnce sends a request once. It fails with *[Error] if the API responds with an error status.
func (c *Client) callOnce(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return backoff.Permanent(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		problemErr := &Error{}
		if err := json.Unmarshal(data, &problemErr.document); err != nil || problemErr.document.Status == 0 {
			problemErr.document.Document = problem.Document{Status: resp.StatusCode, Title: "operator API responded", Detail: fmt.Sprintf("status %d", resp.StatusCode)}
		}
		return problemErr
	}
	if raw, ok := out.(*[]byte); ok {
		*raw = data
		return nil
	}
	return json.Unmarshal(data, out)
}
