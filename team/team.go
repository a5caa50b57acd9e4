// Package team describes teams, which submit work and authenticate with keys.
//
// # Usage
//
//	t, err := team.New(team.Spec{Name: "supervisors", Share: 2, UpperLimit: 40})
//	key, spec, err := team.NewKey("supervisors")
//	...
//	if t.VerifyKey(key) { ... }
package team

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/rotisserie/eris"
)

// keyBytes is the length of the random part of a key. A key with 256 random bits can be stored as a salted
// SHA-256 hash. It needs no slow password hash, which would cost each request milliseconds.
const keyBytes = 32

const saltBytes = 16

// KeySpec is the stored form of a key. The key itself is never stored.
type KeySpec struct {
	// ID is the public part of the key. It is unique within the team.
	ID string `yaml:"id" json:"id"`
	// Salt and Hash are in base64.
	Salt string `yaml:"salt" json:"salt"`
	Hash string `yaml:"hash" json:"hash"`
}

// Spec is the configuration document of a team.
type Spec struct {
	Name string `yaml:"name" json:"name"`
	// Share is the weight of the team within a class while the pool is full. It is greater than 0.
	Share float64 `yaml:"share" json:"share"`
	// UpperLimit is the largest number of requests and jobs of the team that may run at a time in the whole fleet.
	UpperLimit int       `yaml:"upperLimit" json:"upperLimit"`
	Keys       []KeySpec `yaml:"keys,omitempty" json:"keys,omitempty"`
}

// Team is a valid team.
type Team struct {
	spec Spec
	keys map[string]hashedKey
}

type hashedKey struct {
	salt []byte
	hash []byte
}

// New returns the team of a document. It fails if a field is missing or invalid.
func New(spec Spec) (Team, error) {
	if spec.Name == "" {
		return Team{}, eris.New("team has no name")
	}
	if !(spec.Share > 0) {
		return Team{}, eris.Errorf("team %q: share %v is not greater than 0", spec.Name, spec.Share)
	}
	if spec.UpperLimit < 1 {
		return Team{}, eris.Errorf("team %q: upper limit %d is less than 1", spec.Name, spec.UpperLimit)
	}
	keys := make(map[string]hashedKey, len(spec.Keys))
	for _, k := range spec.Keys {
		salt, err := base64.StdEncoding.DecodeString(k.Salt)
		if err != nil {
			return Team{}, eris.Errorf("team %q: salt of key %q is not base64", spec.Name, k.ID)
		}
		hash, err := base64.StdEncoding.DecodeString(k.Hash)
		if err != nil || len(hash) != sha256.Size {
			return Team{}, eris.Errorf("team %q: hash of key %q is not a SHA-256 hash in base64", spec.Name, k.ID)
		}
		if _, ok := keys[k.ID]; ok || k.ID == "" {
			return Team{}, eris.Errorf("team %q: key ID %q is empty or used twice", spec.Name, k.ID)
		}
		keys[k.ID] = hashedKey{salt: salt, hash: hash}
	}
	return Team{spec: spec, keys: keys}, nil
}

// Name returns the name of the team.
func (t Team) Name() string { return t.spec.Name }

// Share returns the weight of the team within a class while the pool is full.
func (t Team) Share() float64 { return t.spec.Share }

// UpperLimit returns the largest number of requests and jobs that may run at a time in the whole fleet.
func (t Team) UpperLimit() int { return t.spec.UpperLimit }

// Spec returns the document of the team.
func (t Team) Spec() Spec { return t.spec }

// VerifyKey reports whether the key is one of the team's keys. Hashes are compared in constant time.
func (t Team) VerifyKey(key string) bool {
	id, secret, ok := splitKey(key)
	if !ok {
		return false
	}
	stored, ok := t.keys[id]
	if !ok {
		return false
	}
	return subtle.ConstantTimeCompare(hashSecret(stored.salt, secret), stored.hash) == 1
}

// KeyID returns the public part of a key, by which its team is found. It is empty if the key is malformed.
func KeyID(key string) string {
	id, _, _ := splitKey(key)
	return id
}

// NewKey returns a new key and its stored form. The key itself cannot be recovered later. NewKey fails if the
// ID is empty or contains a dot.
func NewKey(id string) (string, KeySpec, error) {
	if id == "" || strings.Contains(id, ".") {
		return "", KeySpec{}, eris.Errorf("key ID %q is empty or contains a dot", id)
	}
	secret := make([]byte, keyBytes)
	salt := make([]byte, saltBytes)
	// Read never returns an error. It ends the program if the system provides no random numbers.
	_, _ = rand.Read(secret)
	_, _ = rand.Read(salt)
	encodedSecret := base64.RawURLEncoding.EncodeToString(secret)
	spec := KeySpec{
		ID:   id,
		Salt: base64.StdEncoding.EncodeToString(salt),
		Hash: base64.StdEncoding.EncodeToString(hashSecret(salt, encodedSecret)),
	}
	return id + "." + encodedSecret, spec, nil
}

func splitKey(key string) (id, secret string, ok bool) {
	id, secret, ok = strings.Cut(key, ".")
	return id, secret, ok && id != "" && secret != ""
}

func hashSecret(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}
