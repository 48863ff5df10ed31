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
	text := make([]byte, 2*configBurst*configPartBytes+100)
	for i := range text {
		text[i] = byte(i * 7)
	}
	return text
}

// lossyFetchTime is enough for configText while a third of the datagrams are lost: a question
// in 1.5 s gets through in two of three cases and brings three parts on average until one is
// lost, so that the mean is 14 s.
const lossyFetchTime = 2 * time.Minute

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
		time.Sleep(lossyFetchTime)
		got := fromB.Load()
		is.True(got != nil && bytes.Equal(*got, text))
		b.SetConfig(7, *got)
		fromB.Store(nil)
		c, fromC := n.startReader("10.0.0.3:1", 3, seed)
		time.Sleep(lossyFetchTime)
		is.True(fromC.Load() != nil && bytes.Equal(*fromC.Load(), text))
		is.True(fromB.Load() == nil) // it has that configuration
		for _, m := range []*member{a, b, c} {
			m.stop()
		}
		time.Sleep(time.Second)
	})
}

// TestConfigurationIsTakenQuickly takes a configuration of several bursts without loss.
func TestConfigurationIsTakenQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := &network{conns: map[string]*memoryConn{}}
		const seed = "10.0.0.1:1"
		a, _ := n.startReader(seed, 1)
		b, fromB := n.startReader("10.0.0.2:1", 1, seed)
		a.SetConfig(7, configText())
		time.Sleep(configDelay + 2*fullInterval + 100*time.Millisecond)
		is.True(fromB.Load() != nil && bytes.Equal(*fromB.Load(), configText()))
		a.stop()
		b.stop()
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
	c.burst = configBurst - 1
	next, whole := c.take(&configPart{Version: 3, Offset: 2, Size: 6, Data: []byte("cd")}, now)
	is.True(whole == nil)
	is.Equal(next, []*configPart{{Version: 3, Offset: 4}})
	next, whole = c.take(&configPart{Version: 3, Offset: 4, Size: 6, Data: []byte("e")}, now)
	is.True(next == nil && whole == nil)
	_, whole = c.take(&configPart{Version: 3, Offset: 5, Size: 6, Data: []byte("f")}, now)
	is.Equal(string(whole), "abcdef")
}
