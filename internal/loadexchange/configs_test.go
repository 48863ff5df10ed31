package loadexchange

import (
	"bytes"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

// startReader starts a member that records the configurations that it takes from peers.
func (n *network) startReader(addr string, version uint64, seeds ...string) (m *member, received *atomic.Pointer[[]byte]) {
	received = &atomic.Pointer[[]byte]{}
	m = n.startWith(Options{Self: addr, Seeds: seeds, OnConfig: func(text []byte, _ directory.Version) { received.Store(&text) }}, version)
	return m, received
}

// configText returns a text that can not be compressed, of several datagrams.
func configText() []byte {
	rnd := rand.New(rand.NewPCG(3, 5))
	text := make([]byte, 2*configBurst*configPartBytes+100)
	for i := range text {
		text[i] = byte(rnd.Uint32())
	}
	return text
}

// lossyFetchTime is enough for configText while a third of the datagrams are lost: a question in
// 1.5 s gets through in two of three cases and brings 1.6 parts on average until one is lost, so
// that the nine parts take 13 s on average.
const lossyFetchTime = 2 * time.Minute

// TestNewerConfigurationIsTakenFromAPeer starts an entry that has an older configuration
// than its peers, while a third of the datagrams are lost.
func TestNewerConfigurationIsTakenFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		rnd := rand.New(rand.NewPCG(1, 1))
		n.SetDrop(func(string, string) bool { return rnd.IntN(3) == 0 })
		const seed = "10.0.0.1:1"
		a, _ := n.startReader(seed, 1)
		b, fromB := n.startReader("10.0.0.2:1", 1, seed)
		text := configText()
		a.SetConfig(7, text, directory.Version{})
		time.Sleep(lossyFetchTime)
		got := fromB.Load()
		is.True(got != nil && bytes.Equal(*got, text))
		b.SetConfig(7, *got, directory.Version{})
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

// withReaders runs a test with two members of which both have version 1, and what the second
// takes from the first.
func withReaders(t *testing.T, test func(is *is.I, a, b *member, fromA *atomic.Pointer[[]byte])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		const seed = "10.0.0.1:1"
		a, _ := n.startReader(seed, 1)
		b, fromA := n.startReader("10.0.0.2:1", 1, seed)
		test(is.New(t), a, b, fromA)
		a.stop()
		b.stop()
		time.Sleep(time.Second)
	})
}

// TestOnlyTheDifferenceIsSent guards against links that carry a large configuration again for each
// change, and against a difference that is applied to another text than that it was made for.
func TestOnlyTheDifferenceIsSent(t *testing.T) {
	is := is.New(t)
	text := configText()
	next := append(append([]byte("changed"), text[:configPartBytes]...), text[2*configPartBytes:]...)
	content, err := encodeConfig(next, text)
	is.NoErr(err)
	is.True(len(content) < len(text)/50)
	got, err := decodeConfig(content, text)
	is.NoErr(err)
	is.True(bytes.Equal(got, next))
	for _, base := range [][]byte{nil, next, text[1:]} {
		_, err = decodeConfig(content, base)
		is.True(err != nil)
	}
	whole, err := encodeConfig(next, nil)
	is.NoErr(err)
	got, err = decodeConfig(whole, nil)
	is.NoErr(err)
	is.True(bytes.Equal(got, next))
}

// TestConfigurationIsTakenQuickly takes a configuration of several bursts without loss.
func TestConfigurationIsTakenQuickly(t *testing.T) {
	withReaders(t, func(is *is.I, a, _ *member, fromA *atomic.Pointer[[]byte]) {
		a.SetConfig(7, configText(), directory.Version{})
		time.Sleep(configDelay + 2*fullInterval + 100*time.Millisecond)
		is.True(fromA.Load() != nil && bytes.Equal(*fromA.Load(), configText()))
	})
}

// TestConfigurationsThatAllReadAreNotSent has each entry that reads the registry for others read a
// new configuration before it would ask a peer.
func TestConfigurationsThatAllReadAreNotSent(t *testing.T) {
	withReaders(t, func(is *is.I, a, b *member, fromA *atomic.Pointer[[]byte]) {
		for version := range uint64(20) {
			a.SetConfig(version+2, configText(), directory.Version{})
			time.Sleep(configDelay - 10*time.Millisecond)
			b.SetConfig(version+2, configText(), directory.Version{})
			time.Sleep(3 * time.Second)
		}
		is.True(fromA.Load() == nil)
	})
}

// TestOtherPartsAreIgnored takes only the part that was asked for.
func TestOtherPartsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	x := &Exchange{configs: configs{version: 1, fetching: 3, fetched: []byte("ab")}}
	for _, part := range []configPart{
		{Version: 2, Offset: 2, Size: 4, Data: []byte("cd")},
		{Version: 3, Offset: 0, Size: 4, Data: []byte("ab")},
		{Version: 3, Offset: 2, Size: maxConfigBytes + 1, Data: []byte("cd")},
	} {
		next, whole := x.takeLocked(&part, now)
		is.True(next == nil && whole == nil)
	}
	x.configs.burst = configBurst - 1
	next, whole := x.takeLocked(&configPart{Version: 3, Offset: 2, Size: 6, Data: []byte("cd")}, now)
	is.True(whole == nil)
	is.Equal(next, []*configPart{{Version: 3, Offset: 4, Encoded: true, Base: 1}})
	next, whole = x.takeLocked(&configPart{Version: 3, Offset: 4, Size: 6, Data: []byte("e")}, now)
	is.True(next == nil && whole == nil)
	_, whole = x.takeLocked(&configPart{Version: 3, Offset: 5, Size: 6, Data: []byte("f")}, now)
	is.Equal(string(whole), "abcdef")
}

// TestLostConfigurationIsReported guards against an entry that starts after the registry came
// back older and accepts keys that its peers know to be withdrawn. An entry that only has not
// read a change yet has lost nothing.
func TestLostConfigurationIsReported(t *testing.T) {
	for _, c := range []struct {
		name string
		read directory.Version
		lost bool
	}{
		{"the registry came back older", directory.Version{Era: 2, Revision: 5}, true},
		{"the change was not read yet", directory.Version{Era: 2, Revision: 4}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				peer, _ := n.startReader(a, 1)
				at := directory.Version{Era: 2, Revision: 5}
				peer.SetRegistry(at, at)
				peer.SetConfig(7, []byte("newer"), at)
				m, received := n.startReader(b, 1, a)
				m.SetRegistry(c.read, c.read)
				time.Sleep(configDelay / 4)
				is.Equal(m.ConfigLost(), c.lost)
				is.Equal(received.Load() != nil, c.lost)
				m.SetConfig(7, []byte("newer"), directory.Version{})
				is.True(!m.ConfigLost())
				peer.stop()
				m.stop()
				time.Sleep(time.Second)
			})
		})
	}
}
