// Package kernel starts, stops and finds the services of one process.
//
// A process is a list of named services. The kernel starts them in the order
// of registration, stops them in the reverse order and collects the state of
// each for the dump. Services find each other by name through Find.
package kernel

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// Service is one part of a process with a life of its own.
type Service interface {
	// Name is unique in a process.
	Name() string
	// Start makes the service ready. Long-running duties go through Kernel.Go.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends the service in good order, until ctx is done.
	Stop(ctx context.Context) error
	// State is what the dump shows. It must be safe to encode as JSON and
	// must hold no secrets.
	State() any
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services []Service
	started  int
	group    *errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{}
}

// Register adds a service; the order of registration is the order of start.
// It returns trace.AlreadyExists for a name that is taken.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range k.services {
		if other.Name() == s.Name() {
			return trace.AlreadyExists("service %q is registered already", s.Name())
		}
	}
	k.services = append(k.services, s)
	return nil
}

// Find returns the service with this name as a T. It returns trace.NotFound
// when no service has the name and trace.BadParameter when it is no T.
func Find[T any](k *Kernel, name string) (T, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var zero T
	for _, s := range k.services {
		if s.Name() != name {
			continue
		}
		t, ok := s.(T)
		if !ok {
			return zero, trace.BadParameter("service %q is a %T", name, s)
		}
		return t, nil
	}
	return zero, trace.NotFound("no service %q", name)
}

// Start starts all services in order. When one fails, those already started
// are stopped again and the error of the failed one is returned.
func (k *Kernel) Start(ctx context.Context) error {
	ctx, k.cancel = context.WithCancel(ctx)
	k.group, k.ctx = errgroup.WithContext(ctx)
	for i, s := range k.services {
		if err := s.Start(k.ctx, k); err != nil {
			k.started = i
			_ = k.Stop(ctx)
			return fmt.Errorf("start service %s: %w", s.Name(), err)
		}
	}
	k.started = len(k.services)
	return nil
}

// Go runs one duty until it returns. Its context ends when the kernel stops;
// an error of a duty ends the context of all.
func (k *Kernel) Go(duty func(ctx context.Context) error) {
	k.group.Go(func() error { return duty(k.ctx) })
}

// Every runs a step at an interval until the kernel stops.
func (k *Kernel) Every(interval time.Duration, step func(ctx context.Context)) {
	k.Go(func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				step(ctx)
			}
		}
	})
}

// Pause waits for a time, or until ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Done is closed when a duty has failed or the kernel was stopped.
func (k *Kernel) Done() <-chan struct{} {
	return k.ctx.Done()
}

// Stop stops the started services in reverse order, then the duties, and
// returns every error met on the way.
func (k *Kernel) Stop(ctx context.Context) error {
	var errs []error
	for i := k.started - 1; i >= 0; i-- {
		s := k.services[i]
		if err := s.Stop(ctx); err != nil {
			errs = append(errs, fmt.Errorf("stop service %s: %w", s.Name(), err))
		}
	}
	k.started = 0
	k.cancel()
	if err := k.group.Wait(); err != nil && ctx.Err() == nil {
		errs = append(errs, fmt.Errorf("run duties: %w", err))
	}
	return trace.NewAggregate(errs...)
}

// ServiceState is the state of one service in a dump.
type ServiceState struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// Dump returns the state of every service in the order of registration.
func (k *Kernel) Dump() []ServiceState {
	k.mu.Lock()
	services := append([]Service(nil), k.services...)
	k.mu.Unlock()
	entries := make([]ServiceState, 0, len(services))
	for _, s := range services {
		entries = append(entries, ServiceState{Name: s.Name(), State: s.State()})
	}
	return entries
}
