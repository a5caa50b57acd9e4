// Package serving holds the settings of "chivetiller serve" that are the project's own, beside the settings file that the platform writes.
// All of them are optional.
//
// # Usage
//
//	s, err := serving.Load("serve.yaml")
//	if err != nil {
//		// One line: "serve.yaml: [3:5] unknown field "copys"".
//	}
//	if s.Scheduling().Copies { ... }
//
// # File
//
//	scheduling:
//	  learnedRunTimes: true
//	  workerPace: true
//	  teamShares: true
//	  admission: true
//	  copies: true
//	  preemption: true
//	  maxWorkers: 600
//	clients:
//	  memoryShare: 0.2
//	  connections: 0
//	  headTime: 4s
//	  bodyTime: 30s
//	  stallTime: 5s
//
// A switch that is on takes effect only where the operator's configuration calls for the part, for instance with the weight of a team.
package serving

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
	"github.com/rotisserie/eris"
)

// Scheduling switches the parts of the scheduler.
type Scheduling struct {
	// LearnedRunTimes expects of a run what earlier runs like it have taken. If it is off, one ratio is learned for each queue.
	LearnedRunTimes bool `yaml:"learnedRunTimes"`
	// WorkerPace prefers workers on which tasks do not take longer than elsewhere.
	WorkerPace bool `yaml:"workerPace"`
	// TeamShares orders the jobs of a full pool by the weights of their teams.
	TeamShares bool `yaml:"teamShares"`
	// Admission refuses jobs that can never run, or that cannot be done before they have lost their value.
	Admission bool `yaml:"admission"`
	// Copies starts a second run of a speculative task that is late.
	Copies bool `yaml:"copies"`
	// Preemption stops runs with checkpoints for more urgent jobs.
	Preemption bool `yaml:"preemption"`
	// MaxWorkers is the number of workers above which all these parts are off, and 0 for no limit. The leader of a larger fleet has no processor time
	// for them: with 1,100 workers half of the jobs took 307 ms to their first start in place of 155 ms.
	MaxWorkers int `yaml:"maxWorkers"`
}

// For returns the switches for a fleet with a number of workers.
func (s Scheduling) For(workers int) Scheduling {
	if s.MaxWorkers > 0 && workers > s.MaxWorkers {
		return Scheduling{MaxWorkers: s.MaxWorkers}
	}
	return s
}

// Clients limits what the clients of the process hold. The configuration of the operator extends the limits of a single request.
type Clients struct {
	// MemoryShare is the part of the memory of the process that the clients at the front may hold. The other listeners have seven eighths of it in sum.
	MemoryShare float64 `yaml:"memoryShare"`
	// Connections limits the connections of clients. If it is 0, they may use half of the descriptors that are not for files.
	Connections int `yaml:"connections"`
	// HeadTime and BodyTime limit the time in which the head and the body of a request arrive, and StallTime the time in which nothing of a
	// body does.
	HeadTime  time.Duration `yaml:"headTime"`
	BodyTime  time.Duration `yaml:"bodyTime"`
	StallTime time.Duration `yaml:"stallTime"`
}

// maxMemoryShare leaves half of the memory to the scheduler: all listeners together have 1.875 times as much, and a quarter more while
// connections end.
const maxMemoryShare = 0.2

func (c Clients) check() error {
	if c.MemoryShare <= 0 || c.MemoryShare > maxMemoryShare {
		return eris.Errorf("clients.memoryShare %g is not above 0 and up to %g", c.MemoryShare, maxMemoryShare)
	}
	if c.Connections < 0 {
		return eris.Errorf("clients.connections %d is negative", c.Connections)
	}
	for name, d := range map[string]time.Duration{"headTime": c.HeadTime, "bodyTime": c.BodyTime, "stallTime": c.StallTime} {
		if d <= 0 {
			return eris.Errorf("clients.%s %s is not positive", name, d)
		}
	}
	return nil
}

// file is the content of a settings file.
type file struct {
	Scheduling Scheduling `yaml:"scheduling"`
	Clients    Clients    `yaml:"clients"`
}

// Settings are checked settings.
type Settings struct{ file file }

// Default returns the settings without a file.
func Default() Settings {
	return Settings{file: file{Scheduling: Scheduling{
		LearnedRunTimes: true, WorkerPace: true, TeamShares: true, Admission: true, Copies: true, Preemption: true, MaxWorkers: 600,
	}, Clients: Clients{MemoryShare: maxMemoryShare, HeadTime: 4 * time.Second, BodyTime: 30 * time.Second, StallTime: 5 * time.Second}}}
}

// Scheduling returns the switches of the scheduler.
func (s Settings) Scheduling() Scheduling { return s.file.Scheduling }

// Clients returns the limits of what clients hold.
func (s Settings) Clients() Clients { return s.file.Clients }

// Load reads and checks a settings file. An empty name stands for the defaults.
func Load(name string) (Settings, error) {
	if name == "" {
		return Default(), nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings of serve")
	}
	s, err := Parse(data)
	return s, eris.Wrapf(err, "settings of serve %s", name)
}

// Parse checks the content of a settings file. Settings that are missing have their defaults.
func Parse(data []byte) (Settings, error) {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Settings{}, err
	}
	s := Default()
	// The decoder sets all fields to zero for an empty document, which would remove the defaults.
	if len(tree.Docs) == 0 || tree.Docs[0].Body == nil {
		return s, nil
	}
	if err := yaml.UnmarshalWithOptions(data, &s.file, yaml.Strict()); err != nil {
		return Settings{}, err
	}
	if err := s.file.Clients.check(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
