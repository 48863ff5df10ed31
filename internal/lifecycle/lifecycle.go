// Package lifecycle implements the state machine of a process, from start to
// graceful shutdown.
package lifecycle

import (
	"context"
	"sync"

	"github.com/juju/errors"
	"github.com/looplab/fsm"
)

// States of a process.
const (
	// Starting processes load the state that they need, such as the release note in
	// force, and accept no work.
	Starting = "starting"
	// Serving processes accept work.
	Serving = "serving"
	// Draining processes finish the work in progress and accept no new work.
	Draining = "draining"
	// Stopped processes have finished all work.
	Stopped = "stopped"
)

const (
	eventReady = "ready"
	eventDrain = "drain"
	eventStop  = "stop"
)

// Machine is the lifecycle of one process. Its methods are safe for
// concurrent use.
type Machine struct {
	fsm *fsm.FSM

	once     sync.Once     // closes draining
	draining chan struct{} // closed when draining starts
}

// New returns a machine in the state Starting. onChange, if not nil, is called
// after each transition.
func New(onChange func(from, to string)) *Machine {
	m := &Machine{draining: make(chan struct{})}
	m.fsm = fsm.NewFSM(Starting, fsm.Events{
		{Name: eventReady, Src: []string{Starting}, Dst: Serving},
		{Name: eventDrain, Src: []string{Starting, Serving}, Dst: Draining},
		{Name: eventStop, Src: []string{Starting, Serving, Draining}, Dst: Stopped},
	}, fsm.Callbacks{
		"enter_state": func(_ context.Context, e *fsm.Event) {
			if onChange != nil {
				onChange(e.Src, e.Dst)
			}
		},
	})
	return m
}

// State returns the current state.
func (m *Machine) State() string { return m.fsm.Current() }

// Accepting reports whether new work may start.
func (m *Machine) Accepting() bool { return m.fsm.Is(Serving) }

// Ready moves from Starting to Serving.
func (m *Machine) Ready() error { return m.event(eventReady) }

// Drain moves to Draining and closes the channel of DrainStarted.
func (m *Machine) Drain() error {
	err := m.event(eventDrain)
	if err == nil {
		m.once.Do(func() { close(m.draining) })
	}
	return err
}

// DrainStarted returns a channel that is closed when draining starts.
func (m *Machine) DrainStarted() <-chan struct{} { return m.draining }

// Stop moves to Stopped.
func (m *Machine) Stop() error { return m.event(eventStop) }

func (m *Machine) event(name string) error {
	return errors.Annotatef(m.fsm.Event(context.Background(), name), "lifecycle event %q in state %q", name, m.State())
}
