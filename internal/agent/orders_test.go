package agent

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/lifecycle"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/standin"
)

const ordersNote = `
schema: samphirestream/v1
number: 1
added:
  models:
    - {name: reader, version: "1", window_tokens: 1000}
    - {name: reader, version: "2", window_tokens: 1000}
  backend_servers:
    - {name: s, data_centre: dc-a, agent: "127.0.0.1:7000", role: decode, models: [reader@2]}
`

// TestAdmissionFollowsOrders checks that an agent accepts a model that its engine
// serves once the orders are in force, and refuses another as not run.
func TestAdmissionFollowsOrders(t *testing.T) {
	is := is.New(t)
	eng := standin.NewEngine(standin.DefaultEngineConfig("s", "prefill"))
	server := httptest.NewServer(eng.Handler())
	defer server.Close()
	doc, err := release.Parse([]byte(ordersNote))
	is.NoErr(err)
	store := release.NewStore()
	is.NoErr(store.Apply(doc))
	a := New(Config{
		Self: protocol.NodeRef{Node: "orders-test", Incarnation: "1"}, Backend: "s", IsEngine: true, BackendURL: server.URL,
		LeaseDuration: time.Minute, TicketKey: make([]byte, 16),
	}, store, lifecycle.New(nil), log.NewNopLogger())
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	defer func() {
		stop()
		<-done
	}()
	reserve := func(id, model string) *apierror.Error {
		var reply protocol.ReserveReply
		is.NoErr((&DecodeCommands{a}).Reserve(protocol.ReserveArgs{
			Header:  protocol.CommandHeader{Timeout: time.Minute},
			Attempt: protocol.Attempt{ID: id, Model: model, PromptTokens: 1, MaxTokens: 1},
		}, &reply))
		return reply.Error
	}
	deadline := time.Now().Add(30 * time.Second)
	for !a.orders.Snapshot().InForce && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(reserve("a", "reader@2") == nil)
	refusal := reserve("b", "reader@1")
	is.True(refusal != nil)
	is.Equal(refusal.Outcome, apierror.OutcomeNotRun)
	is.Equal(a.Snapshot().Orders.Note, uint64(1))
}
