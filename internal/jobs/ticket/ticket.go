// Package ticket keeps what the policy service has said about the workers for a step: which may run it, with their tickets, and which have
// been asked about. A worker that has joined since is not known, and can be asked about beside the tickets at hand.
//
// # Usage
//
//	var book ticket.Book
//	if ids := book.Unasked(candidates, now); len(ids) > 0 {
//		// Query the policy service about ids.
//		book.Record(ids, grants, validUntil, validUntil)
//	}
//	value, ok := book.Ticket(id, now)
package ticket

import (
	"slices"
	"time"
)

// Book holds the answers for a step. The zero value is empty. All times are monotonic times of one process.
type Book struct {
	granted map[string]grant
	// askedUntil is, for each worker that was asked about, the time until which the answer holds.
	askedUntil map[string]time.Duration
	// validUntil is the time until which any ticket is valid.
	validUntil time.Duration
}

type grant struct {
	value string
	until time.Duration
}

// Record records the answer to a query about workers. Tickets hold until a time, and the others count as denied until deniedUntil.
func (b *Book) Record(asked []string, granted map[string]string, until, deniedUntil time.Duration) {
	if b.askedUntil == nil {
		b.askedUntil, b.granted = make(map[string]time.Duration), make(map[string]grant)
	}
	for _, id := range asked {
		b.askedUntil[id] = deniedUntil
	}
	for id, value := range granted {
		b.askedUntil[id] = until
		b.granted[id] = grant{value: value, until: until}
		b.validUntil = max(b.validUntil, until)
	}
}

// Valid reports whether there is a ticket that can be used.
func (b *Book) Valid(now time.Duration) bool { return now < b.validUntil }

// Ticket returns the ticket of a worker, and false if it has none that can be used.
func (b *Book) Ticket(worker string, now time.Duration) (string, bool) {
	g, ok := b.granted[worker]
	return g.value, ok && now < g.until
}

// Unasked returns the workers among those given about which nothing is known any more, in their order.
func (b *Book) Unasked(workers []string, now time.Duration) []string {
	return slices.DeleteFunc(slices.Clone(workers), func(id string) bool {
		until, ok := b.askedUntil[id]
		return ok && now < until
	})
}

// Forget forgets what is known of a worker, since a ticket is for one life of it.
func (b *Book) Forget(worker string) {
	if _, ok := b.askedUntil[worker]; !ok {
		return
	}
	delete(b.granted, worker)
	delete(b.askedUntil, worker)
	b.validUntil = 0
	for _, g := range b.granted {
		b.validUntil = max(b.validUntil, g.until)
	}
}
