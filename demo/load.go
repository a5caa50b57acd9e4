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

// result is how a request ended for its caller.
type result string

const (
	resultAnswered result = "answered"
	// resultRefused is a rejection as not run.
	resultRefused result = "refused"
	// resultUnknown is neither a whole response nor a rejection as not run.
	resultUnknown result = "unknown"
	// resultCut is a response that is not whole, or not the caller's own.
	resultCut result = "cut"
)

// call is a request of a caller and what came of it.
type call struct {
	id    string
	class class.Spec
	// once marks a request that must run at most once.
	once   bool
	result result
	status int
	detail string
	took   time.Duration
}

// load sends requests to the entry instances, as callers behind a load balancer do.
type load struct {
	keys     map[string]string
	balancer *balancer
	client   *http.Client
	// rate is the number of requests a second.
	rate int

	sent sync.WaitGroup
	mu   sync.Mutex
	done []call
}

const callTimeout = 10 * time.Second

func newLoad(keys map[string]string, b *balancer, rate int) *load {
	return &load{
		keys:     keys,
		balancer: b,
		rate:     rate,
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second},
		},
	}
}

// run sends requests until the context ends, and returns when all have ended.
func (l *load) run(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(l.rate))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.sent.Go(l.send)
		case <-ctx.Done():
			l.sent.Wait()
			return
		}
	}
}

func (l *load) send() {
	c := call{id: ident.New(), class: classes[rand.IntN(len(classes))]}
	c.once = !c.class.Open && rand.IntN(2) == 0
	start := time.Now()
	l.exchange(&c)
	c.took = time.Since(start)
	l.mu.Lock()
	l.done = append(l.done, c)
	l.mu.Unlock()
}

// exchange sends the request and judges the response. The load balancer tries another entry instance
// if the first accepts no connection, since nothing was sent then.
func (l *load) exchange(c *call) {
	var lastErr error
	for range 3 {
		request, body, err := l.newRequest(c, l.balancer.next())
		if err != nil {
			c.result, c.detail = resultUnknown, err.Error()
			return
		}
		response, err := l.client.Do(request)
		if err == nil {
			judge(c, response, body)
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

func (l *load) newRequest(c *call, address string) (*http.Request, []byte, error) {
	method, body := http.MethodGet, []byte(nil)
	if c.once {
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
	if c.once {
		request.Header[caller.HeaderIdempotencyKey] = []string{c.id}
	}
	return request, body, nil
}

// judge compares the response with the request: the endpoint echoes the body.
func judge(c *call, response *http.Response, sent []byte) {
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

// balancer picks ready entry instances in turn. It checks readiness at intervals, as the platform's does.
type balancer struct {
	mu        sync.Mutex
	addresses []string
	ready     []string
	turn      atomic.Uint64
}

const balancerInterval = 50 * time.Millisecond

// set replaces the addresses that the balancer checks.
func (b *balancer) set(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addresses = addresses
}

func (b *balancer) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return b.addresses[0]
	}
	return b.ready[b.turn.Add(1)%uint64(len(b.ready))]
}

// run checks readiness until the context ends.
func (b *balancer) run(ctx context.Context) {
	client := newReadinessClient()
	for ctx.Err() == nil {
		b.check(ctx, client)
		select {
		case <-ctx.Done():
		case <-time.After(balancerInterval):
		}
	}
}

func newReadinessClient() *http.Client {
	return &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
}

func (b *balancer) check(ctx context.Context, client *http.Client) {
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
