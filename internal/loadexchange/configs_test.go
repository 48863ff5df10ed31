package loadexchange

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// startReader starts a member that records the configurations that it takes from peers.
func (n *network) startReader(addr string, version uint64, seeds ...string) (m *member, received *atomic.Pointer[[]byte]) {
	m = &member{calls: map[string]int{}, stageChange: map[string]time.Time{}, unreachable: map[string]bool{}}
	received = &atomic.Pointer[[]byte]{}
	m.Exchange = New(n.listen(addr), Options{Self: addr, Seeds: seeds, OnConfig: func(text []byte) { received.Store(&text) }}, log.NewNopLogger())
	m.SetHandler(m)
	m.SetConfig(version, []byte("old"))
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go m.Run(ctx)
	return m, received
}

// configText returns a text of several datagrams.
func configText() []byte {
	text := make([]byte, 5*configPartBytes+100)
	for i := range text {
		text[i] = byte(i * 7)
	}
	return text
}

// TestNewerConfigurationIsTakenFromAPeer starts an entry that knows an older configuration
// than its peers, while a third of the datagrams are lost.
func TestNewerConfigurationIsTakenFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{conns: map[string]*memoryConn{}}
		rnd := rand.New(rand.NewPCG(1, 1))
		n.setDrop(func(string, string) bool { return rnd.IntN(3) == 0 })
		const seed = "10.0.0.1:1"
		a, _ := n.startReader(seed, 1)
		b, fromB := n.startReader("10.0.0.2:1", 1, seed)
		text := configText()
		a.SetConfig(7, text)
		time.Sleep(20 * time.Second)
		got := fromB.Load()
		is.True(got != nil && bytes.Equal(*got, text))
		b.SetConfig(7, *got)
		fromB.Store(nil)
		c, fromC := n.startReader("10.0.0.3:1", 3, seed)
		time.Sleep(20 * time.Second)
		is.True(fromC.Load() != nil && bytes.Equal(*fromC.Load(), text))
		is.True(fromB.Load() == nil) // it has that configuration
		for _, m := range []*member{a, b, c} {
			m.stop()
		}
		time.Sleep(time.Second)
	})
}

// TestConfigurationsThatAllReadAreNotSent has each entry read a new configuration within the
// second that it takes at most.
func TestConfigurationsThatAllReadAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{conns: map[string]*memoryConn{}}
		const seed = "10.0.0.1:1"
		a, _ := n.startReader(seed, 1)
		b, fromB := n.startReader("10.0.0.2:1", 1, seed)
		for version := range uint64(20) {
			a.SetConfig(version+2, configText())
			time.Sleep(900 * time.Millisecond)
			b.SetConfig(version+2, configText())
			time.Sleep(3 * time.Second)
		}
		is.True(fromB.Load() == nil)
		a.stop()
		b.stop()
		time.Sleep(time.Second)
	})
}

// TestOtherPartsAreIgnored takes only the part that was asked for.
func TestOtherPartsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := &configs{version: 1, fetching: 3, fetched: []byte("ab")}
	for _, part := range []configPart{
		{Version: 2, Offset: 2, Size: 4, Data: []byte("cd")},
		{Version: 3, Offset: 0, Size: 4, Data: []byte("ab")},
		{Version: 3, Offset: 2, Size: maxConfigBytes + 1, Data: []byte("cd")},
	} {
		next, whole := c.take(&part, now)
		is.True(next == nil && whole == nil)
	}
	next, whole := c.take(&configPart{Version: 3, Offset: 2, Size: 5, Data: []byte("cd")}, now)
	is.True(whole == nil)
	is.Equal(*next, configPart{Version: 3, Offset: 4})
	_, whole = c.take(&configPart{Version: 3, Offset: 4, Size: 5, Data: []byte("e")}, now)
	is.Equal(string(whole), "abcde")
}
