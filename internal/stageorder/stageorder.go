// Package stageorder gives a model server its orders, from the process beside it. That process is
// the only one that does, at any time and in any partition, so that nobody has to agree on who may.
package stageorder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/freshness"
	"github.com/samphirestream/samphirestream/internal/loadexchange"
)

const (
	// giveTimeout bounds the time from a permit to the order. The entry that asked waits no longer.
	giveTimeout = time.Second
	// ordersPerLife is the number of orders in one life of a server for which fencing tokens stay
	// below those of its next one, which starts at least a millisecond later.
	ordersPerLife = 1000
)

// Report is what a server says of itself.
type Report struct {
	Stage directory.Stage
	// Busy is set while an order is carried out, and Accepted is the number of orders accepted in
	// this life of the server.
	Busy     bool
	Accepted int64
	// Started is the start of that life, in Unix milliseconds; 0 if unknown.
	Started int64
}

// Order is an order to a server.
type Order struct {
	To directory.Stage
	// Fence is the fencing token. A server that checks it refuses lower ones than it has seen.
	Fence int64
	// Expected is the number of orders that the server has accepted; nil if it is not known.
	Expected *int64
}

// Server is the client of the server on the own VM.
type Server interface {
	Report(ctx context.Context, at *directory.Server) (*Report, error)
	Order(ctx context.Context, at *directory.Server, o Order) error
}

// Options configure a giver.
type Options struct {
	// IP is the address of the VM, and Addr that of its server; "" if it is not known.
	IP, Addr string
	// Clock counts the time for which the VM is suspended.
	Clock freshness.Clock
}

// Giver gives orders to one server, for entries that ask. It is safe for concurrent use.
type Giver struct {
	options Options
	server  Server
	log     log.Logger

	mu sync.Mutex // guards the fields below; held while an order is given
	// busyUntil is the time at which the last order is carried out.
	busyUntil time.Duration
	// started is the life of the server to which given orders were given.
	started, given int64
}

// NewGiver returns a giver.
func NewGiver(s Server, o Options, logger log.Logger) *Giver {
	return &Giver{options: o, server: s, log: logger}
}

// Give carries out an order of an entry. Of the orders of several entries the first counts until
// the change of stage is over; later ones are refused, since they were decided without it.
func (g *Giver) Give(ctx context.Context, o loadexchange.StageOrder) error {
	host, _, err := net.SplitHostPort(o.Addr)
	if err != nil || host != g.options.IP || g.options.Addr != "" && g.options.Addr != o.Addr {
		return errors.NotValidf("order to %s, which is no server of this VM; address the process beside it:", o.Addr)
	}
	ctx, cancel := context.WithTimeout(ctx, giveTimeout)
	defer cancel()
	now := g.options.Clock
	asked := now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now() < g.busyUntil {
		return errors.New("another order is being carried out; ask again when it is over")
	}
	at := &directory.Server{ID: o.Server, Addr: o.Addr, Started: o.Started, Stage: o.From}
	known, err := g.server.Report(ctx, at)
	if err != nil {
		_ = level.Warn(g.log).Log("msg", "report of the server not read", "server", o.Server, "err", err)
		known = nil
	}
	switch {
	case known == nil:
	case known.Stage == o.To:
		return nil
	case known.Busy:
		return errors.New("the server carries out another order; ask again when it is over")
	case known.Started != 0 && o.Started != 0 && known.Started != o.Started:
		return errors.New("the server has started again; read its registration")
	}
	order, err := g.newOrder(o, known)
	if err != nil {
		return err
	}
	if now()-asked > giveTimeout {
		return errors.New("the VM was suspended; ask again")
	}
	if err := g.server.Order(ctx, at, order); err != nil && !g.accepted(ctx, at, o.To, known) {
		return err
	}
	g.busyUntil = now() + time.Duration(o.Duration)*time.Millisecond
	return nil
}

// newOrder returns an order. Its fencing token follows from what the server itself says, its start
// and the number of orders that it has accepted in this life: it rises without a disk and without a
// clock of this process, also over lives of both.
func (g *Giver) newOrder(o loadexchange.StageOrder, known *Report) (Order, error) {
	started, out := o.Started, Order{To: o.To}
	if known != nil && known.Started != 0 {
		started = known.Started
	}
	if started <= 0 {
		return out, errors.New("the start of the server is not known, so that its orders can't be fenced")
	}
	if g.started != started {
		g.started, g.given = started, 0
	}
	if known != nil {
		out.Expected = &known.Accepted
		g.given = max(g.given, known.Accepted)
	}
	g.given++
	out.Fence = started*ordersPerLife + g.given
	return out, nil
}

// accepted reports whether the server has accepted an order that failed: its answer may be lost.
func (g *Giver) accepted(ctx context.Context, at *directory.Server, to directory.Stage, before *Report) bool {
	after, err := g.server.Report(ctx, at)
	if err != nil || before == nil {
		return false
	}
	return after.Accepted > before.Accepted && (after.Busy || after.Stage == to)
}
