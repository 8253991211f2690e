// Package kernel starts, stops and looks up the services of one process.
//
// Services have unique names. They start in the order of registration and stop
// in reverse order. Dump collects their states, and Find looks one up by name.
package kernel

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
)

// Service is one part of a process that is started and stopped by the kernel.
type Service interface {
	// Name is unique in a process.
	Name() string
	// Start makes the service ready. It runs background tasks with Kernel.Go.
	Start(ctx context.Context, k *Kernel) error
	// Stop shuts the service down gracefully, until ctx is done.
	Stop(ctx context.Context) error
	// State is what the dump shows. It must be safe to encode as JSON and must
	// not contain secrets.
	State() any
}

// Kernel runs the services of one process.
type Kernel struct {
	// OnPanic is called when a background task or a step of one panics, with the value
	// and the stack. Nil ignores it. Set it before Start.
	OnPanic func(value any, stack []byte)

	mu       sync.Mutex
	services []Service
	started  int // number of services started
	group    *errgroup.Group
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a kernel without services.
func New() *Kernel {
	return &Kernel{}
}

// Register adds a service. Services start in the order of registration. It
// returns trace.AlreadyExists if the name is in use.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range k.services {
		if other.Name() == s.Name() {
			return trace.AlreadyExists("service %q is already registered", s.Name())
		}
	}
	k.services = append(k.services, s)
	return nil
}

// Find returns the service with this name as a T. It returns trace.NotFound if
// no service has the name, and trace.BadParameter if the service is not a T.
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
			return zero, trace.BadParameter("service %q has an unexpected type: %T", name, s)
		}
		return t, nil
	}
	return zero, trace.NotFound("service %q is not registered", name)
}

// Start starts all services in order. If one fails, Start stops those already
// started and returns the error.
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

// restartPause is the time until a background task that panicked is started again.
const restartPause = 100 * time.Millisecond

// Go runs a background task. All tasks share a context, which is cancelled when
// the kernel stops or a task returns an error. A task that panics is started again.
func (k *Kernel) Go(task func(ctx context.Context) error) {
	k.group.Go(func() error {
		for {
			var err error
			if !k.panics(func() { err = task(k.ctx) }) || k.ctx.Err() != nil {
				return err
			}
			Pause(k.ctx, restartPause)
		}
	})
}

// Every calls step at an interval, in one goroutine, until the kernel stops. A panic ends
// only that step.
func (k *Kernel) Every(interval time.Duration, step func(ctx context.Context)) {
	k.Go(func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				k.panics(func() { step(ctx) })
			}
		}
	})
}

// panics reports whether f panicked.
func (k *Kernel) panics(f func()) (panicked bool) {
	defer func() {
		if value := recover(); value != nil {
			panicked = true
			if k.OnPanic != nil {
				k.OnPanic(value, debug.Stack())
			}
		}
	}()
	f()
	return false
}

// Pause sleeps for d, or until ctx is done.
func Pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Done is closed when a background task has failed or the kernel was stopped.
func (k *Kernel) Done() <-chan struct{} {
	return k.ctx.Done()
}

// Stop stops the started services in reverse order, then cancels the background
// tasks and waits for them. It returns all errors.
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
		errs = append(errs, fmt.Errorf("run background tasks: %w", err))
	}
	return trace.NewAggregate(errs...)
}

// ServiceState is the state of one service in the dump.
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
