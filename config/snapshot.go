package config

import (
	"cmp"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/team"
)

// Snapshot is the whole configuration at one version. It is immutable and safe for concurrent use.
type Snapshot struct {
	version   uint64
	documents map[Ref]Document

	pools     map[string]pool.Pool
	teams     map[string]team.Team
	classes   map[string]class.Class
	operators map[string]team.Team
	// keyOwners holds the team or operator of each key by the public part of the key.
	keyOwners map[string]Ref

	poolList  []pool.Pool
	teamList  []team.Team
	classList []class.Class

	problems []Problem
}

// NewSnapshot checks the whole set of documents and returns its snapshot. It fails with *[Invalid].
func NewSnapshot(version uint64, documents []Document) (*Snapshot, error) {
	byRef := make(map[Ref]Document, len(documents))
	for _, d := range documents {
		byRef[d.Ref()] = d
	}
	s := buildSnapshot(version, byRef)
	if len(s.problems) > 0 {
		return nil, &Invalid{Problems: s.problems}
	}
	return s, nil
}

// Version returns the version of the set. It is 0 while nothing has been configured.
func (s *Snapshot) Version() uint64 { return s.version }

// Class returns the class with the name.
func (s *Snapshot) Class(name string) (class.Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// Team returns the team with the name.
func (s *Snapshot) Team(name string) (team.Team, bool) {
	t, ok := s.teams[name]
	return t, ok
}

// Pool returns the pool with the name.
func (s *Snapshot) Pool(name string) (pool.Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// TeamByKey returns the team of a key. It does not check how old the snapshot is; [Source.Authenticate] does.
func (s *Snapshot) TeamByKey(key string) (team.Team, bool) {
	owner, ok := s.keyOwners[team.KeyID(key)]
	if !ok || owner.Kind != KindTeam {
		return team.Team{}, false
	}
	t := s.teams[owner.Name]
	return t, t.VerifyKey(key)
}

// OperatorByKey returns the name of an operator key.
func (s *Snapshot) OperatorByKey(key string) (string, bool) {
	owner, ok := s.keyOwners[team.KeyID(key)]
	if !ok || owner.Kind != KindOperatorKey {
		return "", false
	}
	return owner.Name, s.operators[owner.Name].VerifyKey(key)
}

// HasOperators reports whether any operator key exists.
func (s *Snapshot) HasOperators() bool { return len(s.operators) > 0 }

// Pools returns all pools, ordered by name. The caller must not change the slice.
func (s *Snapshot) Pools() []pool.Pool { return s.poolList }

// Teams returns all teams, ordered by name. The caller must not change the slice.
func (s *Snapshot) Teams() []team.Team { return s.teamList }

// Classes returns all classes, ordered by name. The caller must not change the slice.
func (s *Snapshot) Classes() []class.Class { return s.classList }

// Document returns the document with the reference.
func (s *Snapshot) Document(ref Ref) (Document, bool) {
	d, ok := s.documents[ref]
	return d, ok
}

// Documents returns all documents, ordered by kind and name.
func (s *Snapshot) Documents() []Document {
	documents := slices.Collect(maps.Values(s.documents))
	slices.SortFunc(documents, func(a, b Document) int { return compareRefs(a.Ref(), b.Ref()) })
	return documents
}

func compareRefs(a, b Ref) int {
	return cmp.Or(
		cmp.Compare(slices.Index(Kinds, a.Kind), slices.Index(Kinds, b.Kind)),
		cmp.Compare(a.Name, b.Name),
	)
}

// apply returns the snapshot after the change, which must be the next one.
func (s *Snapshot) apply(c Change) (*Snapshot, error) {
	if c.Version != s.version+1 {
		return nil, eris.Errorf("change to version %d does not follow version %d", c.Version, s.version)
	}
	return buildSnapshot(c.Version, patchDocuments(s.documents, c)), nil
}

// patchDocuments returns a copy of the documents with the change applied.
func patchDocuments(documents map[Ref]Document, c Change) map[Ref]Document {
	patched := maps.Clone(documents)
	for _, ref := range c.Deletes {
		delete(patched, ref)
	}
	for _, d := range c.Puts {
		d.Version = c.Version
		patched[d.Ref()] = d
	}
	return patched
}

// buildSnapshot checks each document and the references between documents, and indexes them. A document with a
// problem is left out of the index. Changes with problems are refused, so a stored document has a problem only if
// it was written by a process of another release with different checks. In that case the other documents
// stay usable and key revocations still take effect.
func buildSnapshot(version uint64, documents map[Ref]Document) *Snapshot {
	s := &Snapshot{
		version:   version,
		documents: documents,
		pools:     make(map[string]pool.Pool),
		teams:     make(map[string]team.Team),
		classes:   make(map[string]class.Class),
		operators: make(map[string]team.Team),
		keyOwners: make(map[string]Ref),
	}
	report := func(ref Ref, err error) {
		if err != nil {
			s.problems = append(s.problems, Problem{Ref: ref, Detail: err.Error()})
		}
	}
	ordered := s.Documents()
	for _, d := range ordered {
		report(d.Ref(), checkName(d.Ref()))
		report(d.Ref(), s.index(d))
	}
	for _, d := range ordered {
		if spec, ok := d.Spec.(class.Spec); ok {
			if _, ok := s.pools[spec.Pool]; !ok && spec.Pool != "" {
				report(d.Ref(), eris.Errorf("class %q uses pool %q, which does not exist", spec.Name, spec.Pool))
			}
		}
	}
	return s
}

// index checks one document, without its references, and adds it to the maps and lists.
func (s *Snapshot) index(d Document) error {
	switch spec := d.Spec.(type) {
	case pool.Spec:
		p, err := pool.New(spec)
		if err != nil {
			return err
		}
		s.pools[spec.Name] = p
		s.poolList = append(s.poolList, p)
	case class.Spec:
		c, err := class.New(spec)
		if err != nil {
			return err
		}
		if err := checkShare(spec.Share); err != nil {
			return eris.Wrapf(err, "class %q", spec.Name)
		}
		s.classes[spec.Name] = c
		s.classList = append(s.classList, c)
	case team.Spec:
		t, err := team.New(spec)
		if err != nil {
			return err
		}
		if err := checkShare(spec.Share); err != nil {
			return eris.Wrapf(err, "team %q", spec.Name)
		}
		s.teams[spec.Name] = t
		s.teamList = append(s.teamList, t)
		return s.indexKeys(d.Ref(), spec.Keys)
	case OperatorKeySpec:
		// Use the checks of team keys: an operator key is treated as a team with one key.
		t, err := team.New(team.Spec{Name: spec.Name, Share: 1, UpperLimit: 1, Keys: []team.KeySpec{spec.Key}})
		if err != nil {
			return err
		}
		s.operators[spec.Name] = t
		return s.indexKeys(d.Ref(), []team.KeySpec{spec.Key})
	default:
		return eris.Errorf("document of kind %q has no spec", d.Kind)
	}
	return nil
}

func (s *Snapshot) indexKeys(owner Ref, keys []team.KeySpec) error {
	for _, key := range keys {
		if other, ok := s.keyOwners[key.ID]; ok {
			return eris.Errorf("key ID %q of %s is also used by %s", key.ID, owner, other)
		}
		s.keyOwners[key.ID] = owner
	}
	return nil
}

// maxShare is the largest share. It keeps sums and products of shares exact enough for the schedulers.
const maxShare = 1e6

func checkShare(share float64) error {
	if !(share <= maxShare) {
		return eris.Errorf("share %v is greater than %v", share, maxShare)
	}
	return nil
}

// maxNameLength keeps row keys and metric labels short.
const maxNameLength = 63

// checkName allows only names that need no escaping in row keys, paths and metric labels.
func checkName(ref Ref) error {
	if ref.Name == "" {
		return nil // reported by the check of the spec
	}
	if len(ref.Name) > maxNameLength {
		return eris.Errorf("name %q is longer than %d characters", ref.Name, maxNameLength)
	}
	for i, r := range ref.Name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if letter || i > 0 && (r >= '0' && r <= '9' || r == '-') {
			continue
		}
		return eris.Errorf("name %q must be letters, digits and hyphens, and start with a letter", ref.Name)
	}
	return nil
}
