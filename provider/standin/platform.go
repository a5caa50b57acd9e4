package standin

import (
	"time"

	"github.com/chivetiller/chivetiller/provider"
)

// Options configure a stand-in platform. The zero value is a platform without lag.
type Options struct {
	// ListLag is how long a change takes to appear in the list of instances.
	ListLag time.Duration
	// ReportInterval is the time between reports of the in-flight counts of instances. The default is 100 ms.
	ReportInterval time.Duration
	// StatusLag is how long a change of a task takes to appear in its status.
	StatusLag time.Duration
	// Seed makes the injected faults repeatable.
	Seed uint64
}

const defaultReportInterval = 100 * time.Millisecond

// Platform is a stand-in for all services of the platform.
type Platform struct {
	table     *Table
	objects   *Objects
	instances *Instances
	tasks     *Tasks
	injector  *injector
	// store is the table that clients call. It is table unless Intercept has replaced it.
	store provider.Table
}

// New returns a platform without rows, objects, instances or tasks.
func New(o Options) *Platform {
	if o.ReportInterval <= 0 {
		o.ReportInterval = defaultReportInterval
	}
	table := NewTable()
	return &Platform{
		table:     table,
		store:     table,
		objects:   NewObjects(),
		instances: newInstances(o),
		tasks:     newTasks(o),
		injector:  newInjector(o.Seed),
	}
}

// Table returns the table, without injected faults.
func (p *Platform) Table() *Table { return p.table }

// Intercept replaces the table that clients call. A test can wrap the table of the platform in it to observe which
// transactions take effect. It must be called before any client is used.
func (p *Platform) Intercept(table provider.Table) { p.store = table }

// Objects returns the object store, without injected faults.
func (p *Platform) Objects() *Objects { return p.objects }

// Instances returns the list of instances, without injected faults.
func (p *Platform) Instances() *Instances { return p.instances }

// Tasks returns the tasks, without injected faults.
func (p *Platform) Tasks() *Tasks { return p.tasks }
