package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
)

func TestRelayDeliversEachTokenOnce(t *testing.T) {
	finish := &protocol.End{FinishReason: "stop"}
	cases := []struct {
		name   string
		chunk  protocol.Chunk
		result delivery
		tokens string
	}{
		{"next", protocol.Chunk{Offset: 2, Tokens: []string{"c"}}, deliveryFresh, "c"},
		{"duplicate", protocol.Chunk{Offset: 1, Tokens: []string{"b"}}, deliveryStale, ""},
		{"overlap", protocol.Chunk{Offset: 1, Tokens: []string{"b", "c", "d"}}, deliveryFresh, "c d"},
		{"gap", protocol.Chunk{Offset: 3, Tokens: []string{"d"}}, deliveryGap, ""},
		{"old end", protocol.Chunk{Offset: 0, Tokens: []string{"a"}, End: finish}, deliveryStale, ""},
		{"end after a gap", protocol.Chunk{Offset: 3, End: finish}, deliveryGap, ""},
		{"end", protocol.Chunk{Offset: 2, End: finish}, deliveryFresh, ""},
		{"empty", protocol.Chunk{Offset: 2}, deliveryStale, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelay("x", 2)
			is.Equal(r.deliver(c.chunk), c.result)
			is.Equal(strings.Join(r.tokens, " "), c.tokens)
		})
	}
}

func TestRelayDropsChunksAfterItsEnd(t *testing.T) {
	is := is.New(t)
	r := newRelay("x", 0)
	is.Equal(r.deliver(protocol.Chunk{Tokens: []string{"a"}, End: &protocol.End{FinishReason: "stop"}}), deliveryFresh)
	is.Equal(r.deliver(protocol.Chunk{Offset: 1, Tokens: []string{"b"}}), deliveryStale)
	r.fail(apierror.Unknown(apierror.KindUnavailable, "late", "none"))
	is.Equal(r.end.FinishReason, "stop")
}

func TestRetryBudgetIsAShareOfRequests(t *testing.T) {
	is := is.New(t)
	var q quotas
	q.init()
	p := release.Provider{Name: "p"}
	retries := func() int {
		n := 0
		for q.acquireRetry(p) {
			n++
		}
		return n
	}
	is.Equal(retries(), int(retrySlack))
	for range 50 {
		done, refusal := q.acquire(p)
		is.True(refusal == nil)
		done()
	}
	n := retries()
	is.True(n == 9 || n == 10) // 50 requests earn 0.2 of a retry each
	other := release.Provider{Name: "other"}
	is.True(q.acquireRetry(other)) // each provider has its own budget
}
