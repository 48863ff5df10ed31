package agent

import (
	"cmp"

	"github.com/samphirestream/samphirestream/internal/orders"
	"github.com/samphirestream/samphirestream/internal/release"
)

// newReconciler returns the reconciler of the agent's engine.
func (a *Agent) newReconciler() *orders.Reconciler {
	cfg := a.cfg.Orders
	cfg.Backend = a.cfg.Backend
	cfg.OrdersSent, cfg.OrderFailures = a.count.orders, a.count.orderFailures
	cfg.DrainStarted = a.lifecycle.DrainStarted()
	lock := cmp.Or(a.cfg.WriterLock, orders.DefaultWriterLock(a.cfg.BackendURL))
	return orders.New(cfg, a.engine, a.store, orders.NewListenerLock(lock), a.log)
}

// roleOf returns the engine role that an attempt starting in a phase requires.
func roleOf(phase string) string {
	if phase == phasePrefill {
		return string(release.RolePrefill)
	}
	return string(release.RoleDecode)
}

// ordersSnapshot returns the state of the reconciler, or nil for a plain service.
func (a *Agent) ordersSnapshot() *orders.Snapshot {
	if !a.cfg.IsEngine {
		return nil
	}
	return a.orders.Snapshot()
}
