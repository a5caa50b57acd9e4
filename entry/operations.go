package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/job"
	"github.com/chivetiller/chivetiller/operator"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/status"
	"github.com/chivetiller/chivetiller/wave"
)

// maxOperatorBody is the maximum size of a request body of an operator in bytes.
const maxOperatorBody = 1 << 20

// Kinds of problems of the operator routes.
var (
	kindInvalid        = problem.Kind{Name: "invalidRequest", Status: http.StatusUnprocessableEntity, Title: "Request is invalid"}
	kindUnknownName    = problem.Kind{Name: "unknownName", Status: http.StatusNotFound, Title: "Name does not exist"}
	kindConflict       = problem.Kind{Name: "conflict", Status: http.StatusConflict, Title: "State has changed"}
	kindUnavailable    = problem.Kind{Name: "platformUnavailable", Status: http.StatusServiceUnavailable, Title: "Platform is unavailable"}
	kindUnknownOutcome = problem.Kind{Name: "unknownOutcome", Status: http.StatusGatewayTimeout, Title: "Outcome is unknown"}
)

// operations serves the operator routes that do not concern the configuration.
type operations struct {
	entry *Entry
	fleet *duty.Operations
	// burnHistory is the object store with the burn history, read as userOperators.
	burnHistory provider.Objects

	// mu guards the stored chunks of the status window and the time at which they were read.
	mu           sync.Mutex
	windowChunks []burn.Chunk
	windowReadAt time.Time
}

// maxWindowAge is how long the stored chunks of the status window are cached. They change once a minute.
const maxWindowAge = 10 * time.Second

// loadWindowChunks returns the stored chunks of the status window, cached for maxWindowAge. It returns nil if they cannot be read.
func (o *operations) loadWindowChunks(ctx context.Context, now time.Time) []burn.Chunk {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.windowReadAt) < maxWindowAge {
		return o.windowChunks
	}
	chunks, err := burn.LoadWindow(ctx, o.burnHistory, now, status.Window)
	if err != nil {
		return nil
	}
	o.windowChunks, o.windowReadAt = chunks, now
	return chunks
}

func newOperations(e *Entry) *operations {
	return &operations{entry: e, burnHistory: e.client.ObjectsFor(userOperators, e.services.Objects), fleet: duty.NewOperations(duty.OperationsOptions{
		Table:     e.client.For(provider.UserWaves),
		Instances: e.services.Instances,
		Logger:    e.logger,
		Pools:     func() []pool.Pool { return e.source.Snapshot().Pools() },
		HasTeam: func(name string) bool {
			_, ok := e.source.Snapshot().Team(name)
			return ok
		},
	})}
}

// registerRoutes registers the routes at the server.
func (o *operations) registerRoutes(s *operator.Server) {
	routes := map[string]func(r *http.Request) (any, error){
		"GET /operator/instances": func(r *http.Request) (any, error) {
			return o.fleet.ListInstances(r.Context(), r.URL.Query().Get("pool"))
		},
		"PUT /operator/instances/{id}/pool": o.assignInstance,
		"DELETE /operator/instances/{id}": func(r *http.Request) (any, error) {
			return nil, o.fleet.RemoveInstance(r.Context(), r.PathValue("id"))
		},
		"GET /operator/waves":  func(r *http.Request) (any, error) { return o.fleet.ListWaves(r.Context()) },
		"POST /operator/waves": o.createWave,
		"GET /operator/waves/{name}": func(r *http.Request) (any, error) {
			return o.fleet.GetWave(r.Context(), r.PathValue("name"))
		},
		"POST /operator/waves/{name}/{action}": func(r *http.Request) (any, error) {
			return o.fleet.ChangeWave(r.Context(), r.PathValue("name"), r.PathValue("action"))
		},
		"POST /operator/jobs": o.submitJob,
		"GET /operator/jobs": func(r *http.Request) (any, error) {
			return o.fleet.ListJobs(r.Context(), r.URL.Query().Get("dataCentre"))
		},
		"GET /operator/jobs/{id}":    func(r *http.Request) (any, error) { return o.fleet.GetJob(r.Context(), r.PathValue("id")) },
		"DELETE /operator/jobs/{id}": func(r *http.Request) (any, error) { return o.fleet.CancelJob(r.Context(), r.PathValue("id")) },
		"GET /operator/status":       func(r *http.Request) (any, error) { return o.statusReport(r.Context()), nil },
		"GET /operator/burn":         func(r *http.Request) (any, error) { return o.burnReport(r.Context()) },
	}
	for pattern, route := range routes {
		s.Handle(pattern, jsonHandler(route))
	}
}

// jsonHandler sends the value that the route returns as JSON, or its error as a problem document.
func jsonHandler(route func(r *http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxOperatorBody)
		value, err := route(r)
		if err != nil {
			// Writing fails only if the connection is gone.
			_ = operatorProblem(err).Write(w, "")
			return
		}
		if value == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	})
}

func operatorProblem(err error) *problem.Problem {
	switch {
	case errors.Is(err, duty.ErrInvalid):
		return problem.NotRun(kindInvalid, err.Error())
	case errors.Is(err, provider.ErrNotFound):
		return problem.NotRun(kindUnknownName, err.Error())
	case errors.Is(err, provider.ErrConflict):
		return problem.NotRun(kindConflict, err.Error())
	case errors.Is(err, provider.ErrUnknownOutcome):
		return problem.Unknown(kindUnknownOutcome, err.Error())
	case errors.Is(err, provider.ErrUnavailable), errors.Is(err, provider.ErrOverBudget):
		return problem.NotRun(kindUnavailable, err.Error()).RetryAfter(time.Second)
	}
	var p *problem.Problem
	if errors.As(err, &p) {
		return p
	}
	return problem.Unknown(problem.Internal, err.Error())
}

// decodeDocument reads a JSON document from the body. Unknown fields are errors, so that misspelt ones are noticed.
func decodeDocument(r *http.Request, to any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		return problem.NotRun(problem.Malformed, err.Error())
	}
	return nil
}

func (o *operations) assignInstance(r *http.Request) (any, error) {
	var body struct {
		Pool string `json:"pool"`
	}
	if err := decodeDocument(r, &body); err != nil {
		return nil, err
	}
	return o.fleet.AssignInstance(r.Context(), r.PathValue("id"), body.Pool)
}

func (o *operations) createWave(r *http.Request) (any, error) {
	var spec wave.Spec
	if err := decodeDocument(r, &spec); err != nil {
		return nil, err
	}
	waves := o.entry.settings.Waves()
	spec.Notice = cmp.Or(spec.Notice, waves.Notice.String())
	spec.DrainLimit = cmp.Or(spec.DrainLimit, waves.DrainLimit.String())
	return o.fleet.CreateWave(r.Context(), spec)
}

func (o *operations) submitJob(r *http.Request) (any, error) {
	var spec job.Spec
	if err := decodeDocument(r, &spec); err != nil {
		return nil, err
	}
	return o.fleet.SubmitJob(r.Context(), spec)
}

// burnReport returns the burn report over the stored history of all entry instances.
func (o *operations) burnReport(ctx context.Context) (burn.Report, error) {
	now := time.Now()
	chunks, err := burn.Load(ctx, o.burnHistory, now)
	if err != nil {
		return burn.Report{}, err
	}
	objectives := make(map[string]float64)
	for _, c := range o.entry.source.Snapshot().Classes() {
		objectives[c.Name()] = c.Objective()
	}
	return burn.NewReport(now, objectives, chunks), nil
}

// statusReport returns the status report. Data that the platform cannot provide at present is left out.
func (o *operations) statusReport(ctx context.Context) status.Report {
	e := o.entry
	snapshot := e.source.Snapshot()
	age, known := e.source.Age()
	in := status.Inputs{
		Now:             time.Now(),
		Entry:           e.settings.Name(),
		Platform:        e.client.State().String(),
		ConfigVersion:   snapshot.Version(),
		ConfigAge:       age,
		ConfigConfirmed: known,
		KeysAdmitted:    e.source.Policy().CheckAge(age, known) == nil,
		Entries:         e.entryInstances(),
		Classes:         snapshot.Classes(),
		Pools:           snapshot.Pools(),
		Rows:            e.directory.Rows(),
		Loads:           e.fleetLoads(),
	}
	if waves, err := o.fleet.ListWaves(ctx); err == nil {
		in.Waves = waves
	}
	in.BurnHistory = append(slices.Clone(o.loadWindowChunks(ctx, in.Now)), e.recorder.CurrentChunk(in.Now))
	return status.NewReport(in)
}

// entryInstances returns this entry instance and the others.
func (e *Entry) entryInstances() []status.Entry {
	entries := []status.Entry{{
		Name: e.settings.Name(), DataCentre: e.settings.DataCentre(), State: "alive", Version: e.source.Snapshot().Version(),
	}}
	if e.node == nil {
		return entries
	}
	for _, m := range e.node.Members() {
		entries = append(entries, status.Entry{
			Name: m.ID, DataCentre: m.DataCentre, State: string(m.State), Version: m.Version, SinceLastContact: m.SinceLastContact.Seconds(),
		})
	}
	return entries
}

// fleetLoads returns the load of each pool, summed over this entry instance and the reports of the others.
func (e *Entry) fleetLoads() map[string]status.Load {
	loads := make(map[string]status.Load)
	add := func(pool string, queued, running, slots int) {
		l := loads[pool]
		l.Queued += queued
		l.Running += running
		l.Slots += slots
		loads[pool] = l
	}
	for _, l := range e.dispatcher.Loads() {
		add(l.Pool, l.Queued, l.InFlight, l.InFlight+l.Free)
	}
	if e.node == nil {
		return loads
	}
	for _, m := range e.node.Members() {
		for name, l := range m.Loads {
			add(name, int(l.Queued), int(l.Running), int(l.Slots))
		}
	}
	return loads
}
