// Package ident generates identifiers for requests, operations and runs.
//
// # Usage
//
//	id := ident.New()
package ident

import "github.com/google/uuid"

// New returns a UUID of version 7, which is unique across all processes. The identifiers of one process sort in the
// order of their creation.
func New() string {
	return uuid.Must(uuid.NewV7()).String()
}
