package loadexchange

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/freshness"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Keeper remembers, beside a backend server, what entries report of streams and of servers that
// ended, and answers entries that ask. It gives the server the orders that they ask for. It learns
// of no one else and sends nothing unasked.
type Keeper struct {
	conn        Conn
	log         log.Logger
	incarnation int64 // see message
	origins     *origin.Table
	blame       *blame.Record
	// give gives an order to the server; nil if none are given.
	give func(ctx context.Context, o StageOrder) error
	// now is a clock that counts the time for which the VM is suspended.
	now freshness.Clock

	mu      sync.Mutex // guards the fields below
	seq     uint64
	permits map[permitKey]*permit
}

// NewKeeper returns a keeper that receives nothing until Run is called.
func NewKeeper(conn Conn, logger log.Logger) *Keeper {
	return &Keeper{conn: conn, log: logger, incarnation: time.Now().UnixMilli(), origins: origin.NewTable(), blame: blame.NewRecord(), now: freshness.BootClock, permits: map[permitKey]*permit{}}
}

// Streams returns the number of streams that are remembered.
func (k *Keeper) Streams() int { return k.origins.Len() }

// Run receives and answers until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = k.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := k.conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			_ = level.Warn(k.log).Log("msg", "nothing received", "err", err)
			sleep.WithContext(ctx, batchDelay)
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			_ = level.Warn(k.log).Log("msg", "message not readable", "from", from.String(), "err", err)
			continue
		}
		k.apply(ctx, from, m)
	}
}

// apply records what an entry reports, and answers it. The answer to a report tells the entry
// that this keeper runs, and since when.
func (k *Keeper) apply(ctx context.Context, from net.Addr, m *message) {
	if m.Keeper {
		return // an answer; two keepers would answer each other without end
	}
	if m.Order != nil {
		k.applyOrder(ctx, from, m.Order)
		return
	}
	for _, o := range m.Origins {
		for _, stream := range o.Streams {
			k.origins.Put(stream, o.origin())
		}
	}
	m.visitEvidence(time.Now(), func(e blame.End) { k.blame.AddEnd(e) }, func(cause blame.Key, at time.Time) {
		k.blame.AddSurvived(blame.Request{Shared: []blame.Key{cause}}, at)
	})
	answer := answerOrigins(m.AskedOrigins, k.origins.Get)
	if answer == nil {
		answer = &message{}
	}
	k.send(from, answer)
	if m.AskedEvidence {
		ends, survived := k.blame.Evidence()
		for _, part := range (&evidence{ends: ends, survived: survived}).messages(time.Now()) {
			k.send(from, part)
		}
	}
}

func (k *Keeper) send(to net.Addr, m *message) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sendLocked(to, m)
}

func (k *Keeper) sendLocked(to net.Addr, m *message) {
	k.seq++
	m.Keeper, m.Incarnation, m.Seq = true, k.incarnation, k.seq
	b, err := encode(m)
	if err == nil {
		_, err = k.conn.WriteTo(b, to)
	}
	if err != nil {
		_ = level.Warn(k.log).Log("msg", "not answered", "to", to.String(), "err", err)
	}
}
