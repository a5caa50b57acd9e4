// Package directory tracks the endpoints that serve each pool and publishes them to the dispatcher.
// It combines the instance rows, the platform's list of instances, announcements of changed rows, and the membership
// of entry instances.
//
// # Usage
//
//	d := directory.New(directory.Options{Self: "one-1", Rows: rows, Reports: reports, Members: membership.Live, Dispatcher: dispatcher})
//	if err := d.Start(ctx); err != nil { ... }
//	defer d.Stop(ctx)
//	d.ApplyAnnouncement(changed) // as soon as this or another entry instance has changed their rows
package directory

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/common/logging"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
)

// DefaultInterval is the default time between reads of the rows and the list.
const DefaultInterval = 500 * time.Millisecond

// readTimeout bounds one read of the rows and the list, so that a slow platform does not hold up the next read.
const readTimeout = 2 * time.Second

// logInterval is the time between log lines about the same fault.
const logInterval = 10 * time.Second

// Rows reads the instance rows.
type Rows interface {
	// ListReadable returns the rows that can be read. It calls unreadable with the ID of each other instance.
	ListReadable(ctx context.Context, unreadable func(id string, err error)) ([]pool.Stored, error)
}

// Reports reads the platform's list of instances.
type Reports interface {
	Refresh(ctx context.Context) error
	Get(id string) (provider.Instance, bool)
}

// Dispatcher receives the endpoints of a pool.
type Dispatcher interface {
	SetEndpoints(pool string, endpoints []endpoint.Endpoint)
}

// Options of a directory.
type Options struct {
	// Self is the ID of this entry instance among the members.
	Self    string
	Rows    Rows
	Reports Reports
	// Members returns the live entry instances, including this one.
	Members func() []endpoint.Member
	// StabilityDelay is how long the membership has to be unchanged before this entry instance uses more slots.
	// It has to be longer than the time after which a silent entry instance no longer counts as live.
	StabilityDelay time.Duration
	// Interval is DefaultInterval if 0.
	Interval   time.Duration
	Dispatcher Dispatcher
	Logger     hclog.Logger
}

// Directory keeps the endpoints of each pool up to date. It is safe for concurrent use.
type Directory struct {
	options Options
	logger  hclog.Logger
	limiter *logging.Limiter

	announcements chan []pool.Instance
	republish     chan struct{}
	results       chan readResult
	quit          chan struct{}
	done          chan struct{}

	// ready is closed once the endpoints have been read and this entry instance has its quota of their slots.
	ready     chan struct{}
	readyOnce sync.Once

	mu          sync.Mutex
	stateCounts map[string]int
	rows        []pool.Stored
}

// readResult is the result of one read of the platform.
type readResult struct {
	rows []pool.Stored
	// reports holds the entry of the platform's list for each row, by instance ID.
	reports map[string]provider.Instance
	err     error
}

// New returns a directory that is not started.
func New(o Options) *Directory {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	return &Directory{
		options:       o,
		logger:        o.Logger.Named("directory"),
		limiter:       logging.NewLimiter(logInterval),
		announcements: make(chan []pool.Instance),
		republish:     make(chan struct{}),
		results:       make(chan readResult),
		quit:          make(chan struct{}),
		done:          make(chan struct{}),
		ready:         make(chan struct{}),
	}
}

// Start begins to read and returns without waiting; see [Directory.WaitReady].
func (d *Directory) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { d.poll(ctx) })
	tasks.Go(d.run)
	go func() {
		<-d.quit
		cancel()
		tasks.Wait()
		close(d.done)
	}()
	return nil
}

// Stop stops the directory. The dispatcher keeps its endpoints.
func (d *Directory) Stop(context.Context) error {
	close(d.quit)
	<-d.done
	return nil
}

// WaitReady returns once the endpoints have been read and this entry instance may use its quota of their slots.
// Before that it would reject all work. The error is that of the context.
func (d *Directory) WaitReady(ctx context.Context) error {
	select {
	case <-d.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether [Directory.WaitReady] returns at once.
func (d *Directory) Ready() bool {
	select {
	case <-d.ready:
		return true
	default:
		return false
	}
}

// ApplyAnnouncement applies changed instance rows without waiting for the next read of the table.
func (d *Directory) ApplyAnnouncement(changed []pool.Instance) {
	select {
	case d.announcements <- changed:
	case <-d.quit:
	}
}

// Republish sends all endpoints to the dispatcher again. It is called after the dispatcher's pools have changed.
func (d *Directory) Republish() {
	select {
	case d.republish <- struct{}{}:
	case <-d.quit:
	}
}

// StateCounts returns the number of instances in each state, according to their rows.
func (d *Directory) StateCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int, len(d.stateCounts))
	for state, n := range d.stateCounts {
		counts[state] = n
	}
	return counts
}

// Rows returns the instance rows as they were last read. They must not be changed.
func (d *Directory) Rows() []pool.Stored {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rows
}

// poll reads rows and reports every interval. It runs in its own goroutine, so that a slow platform does not delay
// announcements.
func (d *Directory) poll(ctx context.Context) {
	ticker := time.NewTicker(d.options.Interval)
	defer ticker.Stop()
	for {
		result := d.readPlatform(ctx)
		select {
		case d.results <- result:
		case <-ctx.Done():
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Directory) readPlatform(ctx context.Context) readResult {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	unreadable := make(map[string]bool)
	rows, err := d.options.Rows.ListReadable(ctx, func(id string, err error) {
		unreadable[id] = true
		if dropped, ok := d.limiter.Allow("unreadable " + id); ok {
			d.logger.Error("Row cannot be read; what was known of it stays in use.", "kind", "instance", "id", id, "error", err, "dropped", dropped)
		}
	})
	if err != nil {
		return readResult{err: err}
	}
	for _, row := range d.Rows() {
		if unreadable[row.ID] {
			rows = append(rows, row)
		}
	}
	// If the list cannot be refreshed, the last reports still have the addresses.
	err = d.options.Reports.Refresh(ctx)
	reports := make(map[string]provider.Instance, len(rows))
	for _, row := range rows {
		if report, ok := d.options.Reports.Get(row.ID); ok {
			reports[row.ID] = report
		}
	}
	return readResult{rows: rows, reports: reports, err: err}
}

// run owns the view. After each message, which may have changed the view, it publishes the changes to the dispatcher.
func (d *Directory) run() {
	v := newView(d.options)
	ticker := time.NewTicker(d.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case result := <-d.results:
			d.applyResult(v, result)
		case changed := <-d.announcements:
			v.applyAnnouncement(changed)
		case <-d.republish:
			v.clearPublished()
		case <-ticker.C:
			// The membership may have changed, or have become stable.
		case <-d.quit:
			return
		}
		v.publish(time.Now())
		if v.ready() {
			d.readyOnce.Do(func() { close(d.ready) })
		}
	}
}

// applyResult updates the view from a read. If the rows could not be read, the view stays as it is.
func (d *Directory) applyResult(v *view, result readResult) {
	if result.err != nil {
		if dropped, ok := d.limiter.Allow("read"); ok {
			d.logger.Warn("Instances cannot be read; the last known endpoints stay in use.", "error", result.err, "dropped", dropped)
		}
	}
	if result.rows == nil && result.err != nil {
		return
	}
	v.replaceRows(result.rows, result.reports)
	d.mu.Lock()
	d.stateCounts = v.stateCounts()
	d.rows = result.rows
	d.mu.Unlock()
}
