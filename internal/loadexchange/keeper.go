package loadexchange

import (
	"context"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Keeper remembers, beside a backend server, what entries report of streams, and answers
// entries that ask. It learns of no one else and sends nothing unasked.
type Keeper struct {
	conn        Conn
	log         log.Logger
	incarnation int64 // see message
	seq         uint64
	origins     *origin.Table
}

// NewKeeper returns a keeper that receives nothing until Run is called.
func NewKeeper(conn Conn, logger log.Logger) *Keeper {
	return &Keeper{conn: conn, log: logger, incarnation: time.Now().UnixMilli(), origins: origin.NewTable()}
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
		k.apply(from, m)
	}
}

// apply records what an entry reports, and answers it. The answer to a report tells the entry
// that this keeper runs, and since when.
func (k *Keeper) apply(from net.Addr, m *message) {
	for _, o := range m.Origins {
		for _, stream := range o.Streams {
			k.origins.Put(stream, o.Software)
		}
	}
	answer := answerOrigins(m.AskedOrigins, k.origins.Get)
	if answer == nil {
		answer = &message{}
	}
	k.seq++
	answer.Keeper, answer.Incarnation, answer.Seq = true, k.incarnation, k.seq
	b, err := encode(answer)
	if err == nil {
		_, err = k.conn.WriteTo(b, from)
	}
	if err != nil {
		_ = level.Warn(k.log).Log("msg", "not answered", "to", from.String(), "err", err)
	}
}
