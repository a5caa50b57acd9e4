package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"

	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/team"
)

const (
	// maxHistory bounds one page of the history.
	maxHistory     = 500
	defaultHistory = 20
	// maxConflictRetries is how often a change of one team is tried again after a concurrent change of that team.
	maxConflictRetries = 8
)

// decodeBody decodes the JSON body. Unknown fields are errors.
func decodeBody(r *http.Request, to any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(to); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return err
		}
		return problem.NotRun(problem.Malformed, "body: "+err.Error())
	}
	return nil
}

// readLatest returns the configuration of the platform. Operators read and change the newest version, which may not be
// in force in this instance yet.
func (s *Server) readLatest(r *http.Request) (*config.Snapshot, error) {
	return s.options.Store.Refresh(r.Context(), s.options.Source.Snapshot())
}

func (s *Server) getDocuments(r *http.Request) (any, error) {
	snapshot, err := s.readLatest(r)
	if err != nil {
		return nil, err
	}
	query := r.URL.Query()
	documents := slices.DeleteFunc(snapshot.Documents(), func(d config.Document) bool {
		kind, name := query.Get("kind"), query.Get("name")
		return kind != "" && string(d.Kind) != kind || name != "" && d.Ref().Name != name
	})
	if len(documents) == 0 && query.Get("name") != "" {
		return nil, problem.NotRun(unknownName, query.Get("kind")+" "+strconv.Quote(query.Get("name"))+" does not exist")
	}
	if query.Get("format") != "yaml" {
		return documentList{Version: snapshot.Version(), Documents: documents}, nil
	}
	data, err := config.Encode(documents)
	return yamlText(data), err
}

func (s *Server) apply(r *http.Request) (any, error) {
	var req ApplyRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	documents, positions, err := config.Decode(req.Files...)
	if err != nil {
		return nil, err
	}
	if req.Import {
		for i := range documents {
			documents[i].Version = 0 // versions in an export belong to the fleet that it came from
		}
	} else {
		latest, err := s.readLatest(r)
		if err != nil {
			return nil, err
		}
		if err := config.KeepStoredKeys(latest, documents); err != nil {
			return nil, positions.Locate(err)
		}
	}
	change, err := s.changeAndWait(r, config.Request{
		OperationID: req.OperationID, Base: req.Base, Reason: req.Reason,
		Puts: documents, Deletes: req.Deletes, Replace: req.Import, DryRun: req.DryRun,
	}, false)
	return change, positions.Locate(err)
}

// changeAndWait applies the change and waits until it is in force everywhere. The flag changesKeys selects the
// stricter rule for keys; see unconfirmedInstances.
func (s *Server) changeAndWait(r *http.Request, req config.Request, changesKeys bool) (Change, error) {
	if req.OperationID == "" {
		return Change{}, problem.NotRun(problem.Malformed, "operationId is missing")
	}
	req.Author = Author(r.Context())
	result, err := s.options.Store.Change(r.Context(), req)
	if err != nil {
		return Change{}, err
	}
	change := Change{Result: result}
	if req.DryRun {
		return change, nil
	}
	if result.Changed {
		s.logger.Info("Configuration was changed.", "version", result.Version, "author", req.Author, "reason", req.Reason)
	}
	change.Pending = s.waitInForce(r.Context(), result, changesKeys)
	change.InForce = change.Pending == nil
	return change, nil
}

func (s *Server) history(r *http.Request) (any, error) {
	parseNumber := func(name string, defaultValue uint64) (uint64, error) {
		text := r.URL.Query().Get(name)
		if text == "" {
			return defaultValue, nil
		}
		n, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return 0, problem.NotRun(problem.Malformed, name+" "+strconv.Quote(text)+" is not a number")
		}
		return n, nil
	}
	before, errBefore := parseNumber("before", 0)
	limit, errLimit := parseNumber("limit", defaultHistory)
	if err := errors.Join(errBefore, errLimit); err != nil {
		return nil, err
	}
	return s.options.Store.History(r.Context(), before, int(min(max(limit, 1), maxHistory)))
}

func (s *Server) createKey(r *http.Request) (any, error) {
	var req CreateKeyRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	return s.changeTeam(r, req.OperationID, "issue key "+req.Key.ID, func(spec *team.Spec) bool {
		spec.Keys = append(slices.Clone(spec.Keys), req.Key)
		return true
	})
}

func (s *Server) revokeKey(r *http.Request) (any, error) {
	id := r.PathValue("id")
	found := false
	change, err := s.changeTeam(r, r.URL.Query().Get("operationId"), "withdraw key "+id, func(spec *team.Spec) bool {
		before := len(spec.Keys)
		spec.Keys = slices.DeleteFunc(slices.Clone(spec.Keys), func(k team.KeySpec) bool { return k.ID == id })
		found = len(spec.Keys) < before
		return found
	})
	// A retry of a revocation that took effect no longer finds the key, but the stored change.
	if err == nil && !found && !change.Changed {
		return nil, problem.NotRun(unknownName, "team "+strconv.Quote(r.PathValue("team"))+" has no key "+strconv.Quote(id))
	}
	return change, err
}

// changeTeam applies edit to the spec of a team. It tries again if another operator changes the same team
// at the same time. The function edit reports whether it changed the spec.
func (s *Server) changeTeam(r *http.Request, operationID, reason string, edit func(spec *team.Spec) bool) (Change, error) {
	for retry := 0; ; retry++ {
		latest, err := s.readLatest(r)
		if err != nil {
			return Change{}, err
		}
		ref := config.Ref{Kind: config.KindTeam, Name: r.PathValue("team")}
		d, ok := latest.Document(ref)
		spec, isTeam := d.Spec.(team.Spec)
		if !ok || !isTeam {
			return Change{}, problem.NotRun(unknownName, "team "+strconv.Quote(ref.Name)+" does not exist")
		}
		if edit(&spec) {
			d.Spec = spec
		}
		change, err := s.changeAndWait(r, config.Request{OperationID: operationID, Reason: reason, Puts: []config.Document{d}}, true)
		var conflictErr *config.Conflict
		if !errors.As(err, &conflictErr) || retry >= maxConflictRetries {
			return change, err
		}
	}
}

func (s *Server) createOperatorKey(r *http.Request) (any, error) {
	var req CreateKeyRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	name := r.URL.Query().Get("name")
	latest, err := s.readLatest(r)
	if err != nil {
		return nil, err
	}
	if d, ok := latest.Document(config.Ref{Kind: config.KindOperatorKey, Name: name}); ok {
		if spec, ok := d.Spec.(config.OperatorKeySpec); ok && spec.Key != req.Key {
			return nil, problem.NotRun(conflict, "operator key "+strconv.Quote(name)+" exists: delete it first or use another name")
		}
	}
	d := config.NewDocument(config.OperatorKeySpec{Name: name, Key: req.Key})
	return s.changeAndWait(r, config.Request{OperationID: req.OperationID, Reason: "issue operator key", Puts: []config.Document{d}}, true)
}
