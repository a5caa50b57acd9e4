package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chivetiller/chivetiller/caller"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/common/problem"
)

// result is the outcome of a request as its caller sees it.
type result string

const (
	resultAnswered result = "answered"
	// resultRefused is a rejection that states that the request did not run.
	resultRefused result = "refused"
	// resultUnknown means that there was neither a complete response nor a rejection as not run.
	resultUnknown result = "unknown"
	// resultCut is a response that is incomplete or belongs to another request.
	resultCut result = "cut"
)

// call is a request of a caller with its outcome.
type call struct {
	id    string
	class class.Spec
	// atMostOnce marks a request with an Idempotency-Key, which must run at most once.
	atMostOnce bool
	result     result
	status     int
	detail     string
	duration   time.Duration
}

// loadGenerator sends requests to the entry instances through a load balancer, as callers do.
type loadGenerator struct {
	keys     map[string]string
	balancer *balancer
	client   *http.Client
	// rate is the number of requests per second.
	rate int

	inFlight sync.WaitGroup
	mu       sync.Mutex
	finished []call
}

const callTimeout = 10 * time.Second

func newLoadGenerator(keys map[string]string, b *balancer, rate int) *loadGenerator {
	return &loadGenerator{
		keys:     keys,
		balancer: b,
		rate:     rate,
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second},
		},
	}
}

// run sends requests until the context is cancelled, and returns when all of them have an outcome.
func (l *loadGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(l.rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.inFlight.Go(l.makeCall)
		case <-ctx.Done():
			l.inFlight.Wait()
			return
		}
	}
}

func (l *loadGenerator) makeCall() {
	c := call{id: ident.New(), class: classes[rand.IntN(len(classes))]}
	c.atMostOnce = !c.class.Open && rand.IntN(2) == 0
	start := time.Now()
	l.sendRequest(&c)
	c.duration = time.Since(start)
	l.mu.Lock()
	l.finished = append(l.finished, c)
	l.mu.Unlock()
}

// sendRequest sends the request and records its outcome. It tries another entry instance if the first one accepts no
// connection, as a load balancer does: nothing was sent then, so the request cannot run twice.
func (l *loadGenerator) sendRequest(c *call) {
	var lastErr error
	for range 3 {
		request, body, err := l.newRequest(c, l.balancer.nextAddress())
		if err != nil {
			c.result, c.detail = resultUnknown, err.Error()
			return
		}
		response, err := l.client.Do(request)
		if err == nil {
			classifyResponse(c, response, body)
			return
		}
		lastErr = err
		var opErr *net.OpError
		if !errors.As(err, &opErr) || opErr.Op != "dial" {
			break
		}
	}
	c.result, c.detail = resultUnknown, lastErr.Error()
}

func (l *loadGenerator) newRequest(c *call, address string) (*http.Request, []byte, error) {
	method, body := http.MethodGet, []byte(nil)
	if c.atMostOnce {
		method = http.MethodPost
		body = fmt.Appendf(nil, `{"id":%q,"text":%q}`, c.id, bytes.Repeat([]byte("x"), 200+rand.IntN(4000)))
	}
	url := fmt.Sprintf("http://%s/work/%s/requests/%s", address, c.class.Name, c.id)
	request, err := http.NewRequest(method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, nil, err
	}
	request.ContentLength = int64(len(body))
	if body == nil {
		request.Body = nil
	}
	if !c.class.Open {
		request.Header.Set("Authorization", "Bearer "+l.keys[teams[rand.IntN(len(teams))]])
	}
	if c.atMostOnce {
		request.Header[caller.HeaderIdempotencyKey] = []string{c.id}
	}
	return request, body, nil
}

// classifyResponse records the outcome of a response. The endpoint echoes the body of the request, so a different body
// belongs to another request.
func classifyResponse(c *call, response *http.Response, sent []byte) {
	defer response.Body.Close()
	c.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		c.result, c.detail = resultCut, err.Error()
	case response.StatusCode == http.StatusOK:
		c.result = resultAnswered
		if !bytes.Equal(body, sent) {
			c.result, c.detail = resultCut, "response is not that of the request"
		}
	default:
		var document struct {
			NotRun bool   `json:"notRun"`
			Type   string `json:"type"`
			Detail string `json:"detail"`
		}
		if response.Header.Get("Content-Type") != problem.ContentType || json.Unmarshal(body, &document) != nil {
			c.result, c.detail = resultUnknown, "response is no problem document"
			return
		}
		c.result, c.detail = resultUnknown, document.Type+": "+document.Detail
		if document.NotRun {
			c.result = resultRefused
		}
	}
}

// balancer picks ready entry instances in turn. Like the load balancer of the platform, it checks readiness at
// intervals.
type balancer struct {
	mu        sync.Mutex
	addresses []string
	ready     []string
	turn      atomic.Uint64
}

const readinessInterval = 50 * time.Millisecond

// setAddresses replaces the addresses that the balancer checks and picks from.
func (b *balancer) setAddresses(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = addresses
}

func (b *balancer) nextAddress() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.addresses[0]
	}
	return b.ready[b.turn.Add(1)%uint64(len(b.ready))]
}

// run checks readiness until the context is cancelled.
func (b *balancer) run(ctx context.Context) {
	client := newReadinessClient()
	for ctx.Err() == nil {
		b.checkReadiness(ctx, client)
		select {
		case <-ctx.Done():
		case <-time.After(readinessInterval):
		}
	}
}

func newReadinessClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

func (b *balancer) checkReadiness(ctx context.Context, client *http.Client) {
	b.mu.Lock()
	addresses := b.addresses
	b.mu.Unlock()
	var ready []string
	for _, address := range addresses {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
		if err != nil {
			continue
		}
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, address)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}
