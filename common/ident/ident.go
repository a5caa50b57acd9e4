// Package ident makes identifiers for requests, operations and runs.
package ident

import "github.com/google/uuid"

// New returns a new identifier, unique over all processes. Identifiers made later by one process sort later.
func New() string {
	return uuid.Must(uuid.NewV7()).String()
}
