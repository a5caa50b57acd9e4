// Package kernel holds named services and runs them in order of their dependencies.
//
// # Usage
//
//	k := kernel.New(logger)
//	k.Register(kernel.Service{Name: "config", Value: source, Start: source.Start, Stop: source.Stop})
//	k.Register(kernel.Service{Name: "caller", Needs: []string{"config"}, Value: server, Start: server.Start, Stop: server.Stop})
//	if err := k.Start(ctx); err != nil { ... }
//	defer k.Stop(ctx)
//
// A service finds another one with [Find], through an interface that it declares itself.
package kernel

import (
	"context"
	"errors"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// Service is a named part of a process.
type Service struct {
	// Name identifies the service within its kernel.
	Name string
	// Needs lists the services that start before this one and stop after it.
	Needs []string
	// Value is what other services find under the name.
	Value any
	// Start returns once the service is ready. It may be nil.
	Start func(ctx context.Context) error
	// Stop ends the service and releases what it holds. It may be nil.
	Stop func(ctx context.Context) error
}

// Kernel runs services.
type Kernel struct {
	logger hclog.Logger

	mu       sync.Mutex
	services map[string]Service
	names    []string
	started  []string
}

// New returns a kernel without services.
func New(logger hclog.Logger) *Kernel {
	return &Kernel{logger: logger.Named("kernel"), services: make(map[string]Service)}
}

// Register adds a service. It fails if the name is empty or taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.Name == "" {
		return eris.New("service has no name")
	}
	if _, ok := k.services[s.Name]; ok {
		return eris.Errorf("service %q is registered twice", s.Name)
	}
	k.services[s.Name] = s
	k.names = append(k.names, s.Name)
	return nil
}

// Find returns the service with the name as a T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	s, ok := k.services[name]
	if !ok {
		return zero, eris.Errorf("service %q is not registered", name)
	}
	value, ok := s.Value.(T)
	if !ok {
		return zero, eris.Errorf("service %q is a %T, which does not have the methods that are needed", name, s.Value)
	}
	return value, nil
}

// Start starts all services, each after those that it needs.
// If one fails, those already started are stopped again.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.order()
	if err != nil {
		return err
	}
	for _, name := range order {
		s := k.services[name]
		if s.Start != nil {
			if err := s.Start(ctx); err != nil {
				return errors.Join(eris.Wrapf(err, "start service %q", name), k.Stop(ctx))
			}
		}
		k.mu.Lock()
		k.started = append(k.started, name)
		k.mu.Unlock()
		k.logger.Debug("Service started.", "service", name)
	}
	return nil
}

// Stop stops the started services in reverse order. It goes on after a failure and returns all errors.
func (k *Kernel) Stop(ctx context.Context) error {
	k.mu.Lock()
	started := k.started
	k.started = nil
	k.mu.Unlock()
	var errs []error
	for i := len(started) - 1; i >= 0; i-- {
		s := k.services[started[i]]
		if s.Stop == nil {
			continue
		}
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, eris.Wrapf(err, "stop service %q", s.Name))
			continue
		}
		k.logger.Debug("Service stopped.", "service", s.Name)
	}
	return errors.Join(errs...)
}

// order sorts the services so that each follows those that it needs.
func (k *Kernel) order() ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	const (
		visiting = 1
		done     = 2
	)
	marks := make(map[string]int, len(k.services))
	order := make([]string, 0, len(k.services))
	var visit func(name, from string) error
	visit = func(name, from string) error {
		s, ok := k.services[name]
		if !ok {
			return eris.Errorf("service %q needs service %q, which is not registered", from, name)
		}
		switch marks[name] {
		case done:
			return nil
		case visiting:
			return eris.Errorf("service %q needs itself through service %q", name, from)
		}
		marks[name] = visiting
		for _, need := range s.Needs {
			if err := visit(need, name); err != nil {
				return err
			}
		}
		marks[name] = done
		order = append(order, name)
		return nil
	}
	for _, name := range k.names {
		if err := visit(name, ""); err != nil {
			return nil, err
		}
	}
	return order, nil
}
