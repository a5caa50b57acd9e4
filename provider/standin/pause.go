package standin

import (
	"context"
	"sync"

	"github.com/chivetiller/chivetiller/provider"
)

// Pauser suspends one simulated process in a test as the operating system would: the process notices only that time has
// passed. The zero Pauser is not paused.
type Pauser struct {
	mu     sync.Mutex
	resume chan struct{}
}

// Pause makes Wait block until Resume.
func (p *Pauser) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

// Resume ends a pause.
func (p *Pauser) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// Wait blocks while the process is paused. A process calls it wherever a pause must be possible.
func (p *Pauser) Wait() {
	for {
		p.mu.Lock()
		resume := p.resume
		p.mu.Unlock()
		if resume == nil {
			return
		}
		<-resume
	}
}

// Table returns a table whose calls are not sent, and whose responses are not received, during a pause.
func (p *Pauser) Table(table provider.Table) provider.Table { return pausedTable{p, table} }

type pausedTable struct {
	pauser *Pauser
	table  provider.Table
}

func (t pausedTable) Read(ctx context.Context, keys ...string) ([]provider.Row, error) {
	t.pauser.Wait()
	defer t.pauser.Wait()
	return t.table.Read(ctx, keys...)
}

func (t pausedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]provider.Row, error) {
	t.pauser.Wait()
	defer t.pauser.Wait()
	return t.table.Scan(ctx, prefix, after, limit)
}

func (t pausedTable) Commit(ctx context.Context, txn provider.Txn) error {
	t.pauser.Wait()
	defer t.pauser.Wait()
	return t.table.Commit(ctx, txn)
}
