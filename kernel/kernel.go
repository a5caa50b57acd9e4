// Package kernel starts and stops the named services of a process in the order of their dependencies.
//
// # Usage
//
//	k := kernel.New(logger)
//	k.Register(kernel.Service{Name: "config", Value: source, Start: source.Start, Stop: source.Stop})
//	k.Register(kernel.Service{Name: "caller", Needs: []string{"config"}, Value: server, Start: server.Start, Stop: server.Stop})
//	if err := k.Start(ctx); err != nil { ... }
//	defer k.Stop(ctx)
//
// A service looks up another one with [Find], as an interface that the service itself declares.
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
	// Needs lists the names of the services that this one depends on: they start before it and stop after it.
	Needs []string
	// Value is what [Find] returns for the name.
	Value any
	// Start starts the service and returns once it is ready. It may be nil.
	Start func(ctx context.Context) error
	// Stop stops the service and releases its resources. It may be nil.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of a process and starts and stops them.
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

// Register adds a service. It fails if the name is empty or already registered.
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

// Find returns the value of a service as a T. It fails if the service is not registered or its value is not a T.
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
// If one fails, Start stops those that are already started and returns all errors.
func (k *Kernel) Start(ctx context.Context) error {
	order, err := k.startOrder()
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

// Stop stops the started services in reverse order. It continues after a failure and returns all errors.
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

// startOrder sorts the services so that each follows those that it needs.
func (k *Kernel) startOrder() ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	const (
		visiting = 1
		done     = 2
	)
	visits := make(map[string]int, len(k.services))
	order := make([]string, 0, len(k.services))
	var visit func(name, dependent string) error
	visit = func(name, dependent string) error {
		s, ok := k.services[name]
		if !ok {
			return eris.Errorf("service %q needs service %q, which is not registered", dependent, name)
		}
		switch visits[name] {
		case done:
			return nil
		case visiting:
			return eris.Errorf("service %q needs itself through service %q", name, dependent)
		}
		visits[name] = visiting
		for _, need := range s.Needs {
			if err := visit(need, name); err != nil {
				return err
			}
		}
		visits[name] = done
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
