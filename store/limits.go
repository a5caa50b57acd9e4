package store

import (
	"encoding/base64"
	"fmt"
)

// Limits of one transaction, as documented by the platform: the number of its conditions, puts and removals, its size in bytes, and
// the size of the value of a row and of each part of its key.
const (
	MaxEntries  = 100
	MaxBytes    = 1 << 20
	MaxRowBytes = 64 << 10
	MaxKeyBytes = 200
)

// Validate reports a key that the store refuses, and with it the whole transaction.
func (k Key) Validate() error {
	if n := max(len(k.Table), len(k.Partition), len(k.Name)); n > MaxKeyBytes {
		return fmt.Errorf("key has %d bytes, the limit is %d", n, MaxKeyBytes)
	}
	return nil
}

// Validate reports a row that the store refuses, and with it the whole transaction.
func (p Put) Validate() error {
	if len(p.Value) > MaxRowBytes {
		return fmt.Errorf("value has %d bytes, the limit is %d", len(p.Value), MaxRowBytes)
	}
	return p.Key.Validate()
}

// Entries returns the number of entries of the transaction.
func (tx *Tx) Entries() int { return len(tx.Expected) + len(tx.Puts) + len(tx.Removes) }

// entryOverhead is more than the encoding of an entry takes besides its key and value.
const entryOverhead = 64

// Size returns an upper limit for the size of the transaction as it is sent, with the values in base64.
func (tx *Tx) Size() int {
	size := 0
	for _, e := range tx.Expected {
		size += e.size()
	}
	for _, p := range tx.Puts {
		size += p.size()
	}
	for _, k := range tx.Removes {
		size += k.size()
	}
	return size
}

func (k Key) size() int { return entryOverhead + len(k.Table) + len(k.Partition) + len(k.Name) }

func (p Put) size() int { return p.Key.size() + base64.StdEncoding.EncodedLen(len(p.Value)) }

// Fits reports whether the transaction as a whole is within the limits of the store.
func (tx *Tx) Fits() bool { return tx.Entries() <= MaxEntries && tx.Size() <= MaxBytes }

// Validate reports a transaction that the store refuses, with an error that is ErrRefused and ErrNotDone.
func (tx *Tx) Validate() error {
	if !tx.Fits() {
		return fmt.Errorf("%w: %w: %d entries with %d bytes, the limits are %d and %d", ErrNotDone, ErrRefused, tx.Entries(), tx.Size(), MaxEntries, MaxBytes)
	}
	check := func(k Key, err error) error {
		if err == nil {
			return nil
		}
		return fmt.Errorf("%w: %w: row %.40q of table %.40q: %w", ErrNotDone, ErrRefused, k.Name, k.Table, err)
	}
	for _, e := range tx.Expected {
		if err := check(e.Key, e.Validate()); err != nil {
			return err
		}
	}
	for _, p := range tx.Puts {
		if err := check(p.Key, p.Validate()); err != nil {
			return err
		}
	}
	for _, k := range tx.Removes {
		if err := check(k, k.Validate()); err != nil {
			return err
		}
	}
	return nil
}

// Split returns transactions for rows that do not depend on each other, each within the limits. Rows that the store refuses are left out
// and passed to refused.
func Split(puts []Put, removes []Key, refused func(k Key, err error)) []Tx {
	var all []Tx
	var tx Tx
	size := 0
	reserve := func(n int) {
		if tx.Entries() == MaxEntries || size+n > MaxBytes {
			all = append(all, tx)
			tx, size = Tx{}, 0
		}
		size += n
	}
	for _, p := range puts {
		if err := p.Validate(); err != nil {
			refused(p.Key, err)
			continue
		}
		reserve(p.size())
		tx.Puts = append(tx.Puts, p)
	}
	for _, k := range removes {
		if err := k.Validate(); err != nil {
			refused(k, err)
			continue
		}
		reserve(k.size())
		tx.Removes = append(tx.Removes, k)
	}
	if tx.Entries() > 0 {
		all = append(all, tx)
	}
	return all
}
