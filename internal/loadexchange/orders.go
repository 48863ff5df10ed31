package loadexchange

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// StageOrder asks the keeper beside a model server to change the stage of that server.
type StageOrder struct {
	_ struct{} `cbor:",toarray"`
	// Server and Addr are the ID of the server and its address.
	Server, Addr string
	// Started is the start of the life of the server that is meant, in Unix milliseconds.
	Started int64
	// From and To are the stage that the server has and the one that it gets.
	From, To directory.Stage
	// Duration is the time that the change takes, with the registration of its end, in
	// milliseconds.
	Duration int64
}

// orderPart is a part of the exchange about one order. An entry asks for a permit, and sends the
// order with it. The permit shows that the sender receives at the address that it sends from,
// which only processes of the deployment have, and that the order has not waited on its way or in a
// process that was suspended.
type orderPart struct {
	// ID identifies the order. An entry draws it at random.
	ID uint64 `cbor:"1,keyasint"`
	// Permit is what the keeper handed out; 0 in the question for it.
	Permit uint64 `cbor:"2,keyasint,omitempty"`
	// Order is set in messages of entries that have a permit.
	Order *StageOrder `cbor:"3,keyasint,omitempty"`
	// Done is set in the answer to an order that was given, or refused for a reason.
	Done    bool   `cbor:"4,keyasint,omitempty"`
	Refused string `cbor:"5,keyasint,omitempty"`
}

const (
	// orderRepeat is the time after which a message about an order is sent again: several round
	// trips within a region.
	orderRepeat = 50 * time.Millisecond
	// permitTTL is the time for which a permit holds, and a result is kept for an entry that has
	// not received it.
	permitTTL = time.Second
	// maxPermits bounds the permits of a keeper; the number of entries in a data centre is lower.
	maxPermits = 1024
)

// Order has the keeper at an address give an order to the server beside it.
func (x *Exchange) Order(ctx context.Context, addr string, o StageOrder) error {
	part := &orderPart{ID: rand.Uint64()}
	answers := make(chan *orderPart, 1)
	x.mu.Lock()
	x.orders[part.ID] = answers
	x.contactLocked(addr)
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.orders, part.ID)
	}()
	repeat := time.NewTicker(orderRepeat)
	defer repeat.Stop()
	for {
		x.sendOnce(&message{Order: part}, map[string]bool{addr: true})
		select {
		case a := <-answers:
			switch {
			case a.Refused != "":
				return errors.Errorf("the process beside the server refused the order: %s", a.Refused)
			case a.Done:
				return nil
			}
			part = &orderPart{ID: part.ID, Permit: a.Permit, Order: &o}
		case <-repeat.C:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "the process beside the server at %s has not answered", addr)
		}
	}
}

// applyOrder passes an answer about an order on to who waits for it.
func (x *Exchange) applyOrder(part *orderPart) {
	x.mu.Lock()
	answers := x.orders[part.ID]
	x.mu.Unlock()
	select {
	case answers <- part:
	default: // nobody waits, or an answer that was sent twice
	}
}

// permit is what a keeper has handed out to an entry, or the order that was sent with it.
type permit struct {
	nonce  uint64
	at     time.Duration
	result *orderPart // nil while the order is carried out
	used   bool
}

// SetOrders sets the function that gives orders to the server. It must be called before Run.
func (k *Keeper) SetOrders(give func(ctx context.Context, o StageOrder) error) { k.give = give }

// applyOrder answers a message about an order. An order is given once, however often it arrives.
func (k *Keeper) applyOrder(ctx context.Context, from net.Addr, part *orderPart) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	for id, p := range k.permits {
		if now-p.at > permitTTL && (!p.used || p.result != nil) {
			delete(k.permits, id)
		}
	}
	id := permitKey{from.String(), part.ID}
	p := k.permits[id]
	if p == nil && len(k.permits) >= maxPermits {
		return
	}
	if p == nil {
		p = &permit{nonce: rand.Uint64() | 1, at: now}
		k.permits[id] = p
	}
	switch {
	case p.result != nil:
		k.sendLocked(from, &message{Order: p.result})
	case p.used: // its result follows
	case part.Order == nil || part.Permit != p.nonce:
		k.sendLocked(from, &message{Order: &orderPart{ID: part.ID, Permit: p.nonce}})
	default:
		p.used = true
		go k.carryOut(ctx, from, *part.Order, part.ID, p)
	}
}

// permitKey identifies an order of an entry.
type permitKey struct {
	from string
	id   uint64
}

// carryOut gives an order and answers the entry.
func (k *Keeper) carryOut(ctx context.Context, from net.Addr, o StageOrder, id uint64, p *permit) {
	err := errors.New("no orders are given here")
	if k.give != nil {
		err = k.give(ctx, o)
	}
	_ = level.Info(k.log).Log("msg", "order of an entry", "from", from.String(), "server", o.Server, "stage", o.To, "err", err)
	result := &orderPart{ID: id, Done: true}
	if err != nil {
		result.Refused = err.Error()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p.result, p.at = result, k.now()
	k.sendLocked(from, &message{Order: result})
}
