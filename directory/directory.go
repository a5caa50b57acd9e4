// Package directory knows which endpoints serve each pool, and tells the dispatcher.
// It joins the instance rows, the platform's list, announcements of stops, and the membership of entry instances.
//
// # Usage
//
//	d := directory.New(directory.Options{Self: "one-1", Rows: rows, Reports: reports, Members: membership.Live, Dispatcher: dispatcher})
//	if err := d.Start(ctx); err != nil { ... }
//	defer d.Stop(ctx)
//	d.ApplyAnnouncement(changed) // as soon as this or another entry instance stops instances
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

// DefaultInterval is the time between two reads of the rows and the list.
const DefaultInterval = 500 * time.Millisecond

// readTimeout bounds one read, so that a slow platform does not keep announcements waiting.
const readTimeout = 2 * time.Second

// logInterval is the time between two lines about the same fault.
const logInterval = 10 * time.Second

// Rows reads the instance rows.
type Rows interface {
	List(ctx context.Context) ([]pool.Stored, error)
}

// Reports reads the platform's list.
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
	// Members returns the live entry instances with this one.
	Members func() []endpoint.Member
	// StabilityDelay is how long the membership has to be unchanged before this entry instance takes more slots.
	// It has to be longer than the suspicion timeout.
	StabilityDelay time.Duration
	// Interval is DefaultInterval if 0.
	Interval   time.Duration
	Dispatcher Dispatcher
	Logger     hclog.Logger
}

// Directory is a task that keeps the endpoints of each pool.
type Directory struct {
	o       Options
	logger  hclog.Logger
	limiter *logging.Limiter

	changes chan []pool.Instance
	again   chan struct{}
	read    chan readResult
	quit    chan struct{}
	done    chan struct{}

	// ready is closed once the endpoints were read and this entry instance has its part of their slots.
	ready     chan struct{}
	readyOnce sync.Once

	mu     sync.Mutex
	counts map[string]int
	rows   []pool.Stored
}

// readResult is what one read of the platform brought.
type readResult struct {
	rows []pool.Stored
	// reports holds the report of each row.
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
		o:       o,
		logger:  o.Logger.Named("directory"),
		limiter: logging.NewLimiter(logInterval),
		changes: make(chan []pool.Instance),
		again:   make(chan struct{}),
		read:    make(chan readResult),
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
		ready:   make(chan struct{}),
	}
}

// Start begins to read. It returns at once; see [Directory.WaitReady].
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

// Stop ends the directory. The dispatcher keeps the endpoints that it has.
func (d *Directory) Stop(context.Context) error {
	close(d.quit)
	<-d.done
	return nil
}

// WaitReady returns once the endpoints were read and this entry instance may use its part of their slots.
// Before that it would reject all work.
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

// ApplyAnnouncement takes changed instance rows before they can be read from the table.
func (d *Directory) ApplyAnnouncement(changed []pool.Instance) {
	select {
	case d.changes <- changed:
	case <-d.quit:
	}
}

// Republish tells the dispatcher all endpoints again, after its pools have changed.
func (d *Directory) Republish() {
	select {
	case d.again <- struct{}{}:
	case <-d.quit:
	}
}

// StateCounts returns the number of instances by state of their rows.
func (d *Directory) StateCounts() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int, len(d.counts))
	for state, n := range d.counts {
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

// poll reads rows and reports. It runs beside the task, so that a slow platform does not delay announcements.
func (d *Directory) poll(ctx context.Context) {
	ticker := time.NewTicker(d.o.Interval)
	defer ticker.Stop()
	for {
		result := d.readOnce(ctx)
		select {
		case d.read <- result:
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

func (d *Directory) readOnce(ctx context.Context) readResult {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rows, err := d.o.Rows.List(ctx)
	if err != nil {
		return readResult{err: err}
	}
	// Without a new list the last reports still give addresses.
	err = d.o.Reports.Refresh(ctx)
	reports := make(map[string]provider.Instance, len(rows))
	for _, row := range rows {
		if report, ok := d.o.Reports.Get(row.ID); ok {
			reports[row.ID] = report
		}
	}
	return readResult{rows: rows, reports: reports, err: err}
}

// run owns the view. Each message may change it, after which the dispatcher is told.
func (d *Directory) run() {
	v := newView(d.o)
	ticker := time.NewTicker(d.o.Interval)
	defer ticker.Stop()
	for {
		select {
		case result := <-d.read:
			d.take(v, result)
		case changed := <-d.changes:
			v.announce(changed)
		case <-d.again:
			v.forgetPublished()
		case <-ticker.C:
			// The membership may have changed, or have become stable.
		case <-d.quit:
			return
		}
		v.publish(time.Now())
		if v.complete() {
			d.readyOnce.Do(func() { close(d.ready) })
		}
	}
}

func (d *Directory) take(v *view, result readResult) {
	if result.err != nil {
		if dropped, ok := d.limiter.Allow("read"); ok {
			d.logger.Warn("Instances cannot be read; the last known endpoints stay in use.", "error", result.err, "dropped", dropped)
		}
	}
	if result.rows == nil && result.err != nil {
		return
	}
	v.replace(result.rows, result.reports)
	d.mu.Lock()
	d.counts = v.counts()
	d.rows = result.rows
	d.mu.Unlock()
}
