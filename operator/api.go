// Package operator implements the HTTP API for operators, which every entry instance serves, and its client.
// Requests carry an operator key. Responses are JSON, and errors are problem documents (RFC 9457).
//
// # Usage
//
//	server, err := operator.NewServer(operator.Options{Listen: "10.0.0.1:8081", Store: store, Source: source, Fleet: node})
//	server.Handle("GET /operator/waves", wavesHandler) // adds a route; the server checks the operator key first
//	err = server.Start(ctx)
//
//	client, err := operator.NewClient("http://10.0.0.1:8081", key)
//	key, change, err := client.CreateKey(ctx, "supervisors")
//	change, err = client.RevokeKey(ctx, "supervisors", "supervisors-1f9a03bc")
package operator

import (
	"time"

	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/team"
)

// Paths of the API.
const (
	pathConfig       = "/operator/config"
	pathApply        = "/operator/config/apply"
	pathHistory      = "/operator/config/history"
	pathStatus       = "/operator/config/status"
	pathTeamKeys     = "/operator/teams/{team}/keys"
	pathTeamKey      = "/operator/teams/{team}/keys/{id}"
	pathOperatorKeys = "/operator/operator-keys"
)

// ApplyRequest asks for a change of the configuration.
type ApplyRequest struct {
	// OperationID identifies the change, so that a retry after a lost response does not apply it twice.
	OperationID string `json:"operationId"`
	// Base, if not 0, is the version that the operator read. Any later change is a conflict.
	Base    uint64        `json:"base,omitempty"`
	Reason  string        `json:"reason,omitempty"`
	Files   []config.File `json:"files,omitempty"`
	Deletes []config.Ref  `json:"deletes,omitempty"`
	// Import replaces the whole set, including the keys of teams, by the files, which are an export.
	Import bool `json:"import,omitempty"`
	DryRun bool `json:"dryRun,omitempty"`
}

// Change is the outcome of a change.
type Change struct {
	config.Result
	// InForce reports that no entry instance uses an earlier version any more. For a change of keys it is also true
	// once the freshness bound has passed, because an instance without the change refuses keyed work by then.
	InForce bool `json:"inForce"`
	// Pending is set if InForce is false and the change was not a dry run.
	Pending *Pending `json:"pending,omitempty"`
}

// Pending describes a change that is not in force everywhere yet.
type Pending struct {
	// Waiting lists the entry instances that have not confirmed the change.
	Waiting []string `json:"waiting"`
	// Latest is the time at which a change of keys is in force everywhere even if these instances stay unreachable.
	Latest time.Time `json:"latest"`
}

// CreateKeyRequest adds a key. The client generates the key and sends only its stored form, so that a
// lost response does not lose the key and the server never has it.
type CreateKeyRequest struct {
	OperationID string       `json:"operationId"`
	Key         team.KeySpec `json:"key"`
}

// Status holds the configuration version of each entry instance.
type Status struct {
	Version uint64 `json:"version"`
	// AgeSeconds is the time since the version was last confirmed to be current. It is -1 if it never was.
	AgeSeconds float64 `json:"age"`
	// BoundSeconds is the greatest age at which keyed work is admitted.
	BoundSeconds    float64                `json:"bound"`
	WhenUnreachable config.WhenUnreachable `json:"whenCutOff"`
	Members         []MemberStatus         `json:"members"`
}

// MemberStatus is what the responding instance knows about another one.
type MemberStatus struct {
	ID                 string  `json:"id"`
	DataCentre         string  `json:"dataCentre"`
	State              string  `json:"state"`
	Version            uint64  `json:"version"`
	LastContactSeconds float64 `json:"heard"`
}

// documentList is the response to a read of the configuration.
type documentList struct {
	Version   uint64            `json:"version"`
	Documents []config.Document `json:"documents"`
}

// Kinds of problems.
var (
	invalidConfiguration = problem.Kind{Name: "invalidConfiguration", Status: 422, Title: "Configuration is invalid"}
	conflict             = problem.Kind{Name: "configurationConflict", Status: 409, Title: "Configuration has changed"}
	unknownName          = problem.Kind{Name: "unknownName", Status: 404, Title: "Document or key does not exist"}
	platformUnavailable  = problem.Kind{Name: "platformUnavailable", Status: 503, Title: "Platform is unavailable"}
	unknownOutcome       = problem.Kind{Name: "unknownOutcome", Status: 504, Title: "Outcome is unknown"}
)

// problemDocument is a problem document with the faults of a configuration or the changes of a conflict.
type problemDocument struct {
	problem.Document
	Problems []config.Problem `json:"problems,omitempty"`
	Changes  []config.Change  `json:"changes,omitempty"`
}
