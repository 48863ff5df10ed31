package integration

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/invariant"
)

// Each kind of request is answered, with and without TLS between the processes.
func TestRequestKinds(t *testing.T) {
	for name, tls := range map[string]bool{"plaintext": false, "tls": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := smallPlan()
			p.tls = tls
			f := newFleet(t, p)
			is.Equal(f.requestStream(0, newContent(30), 0).wait(f).Outcome, invariant.OutcomeWhole)
			is.Equal(f.requestWhole(0, newContent(5000)).wait(f).Outcome, invariant.OutcomeWhole)
			is.Equal(f.getContract(0).wait(f).Outcome, invariant.OutcomeWhole)
			reference := newContent(1)
			first := f.pay(0, reference, "").wait(f)
			is.Equal(first.Outcome, invariant.OutcomeWhole)
			repeat := f.pay(0, reference, first.ticket).wait(f)
			is.Equal(repeat.Outcome, invariant.OutcomeWhole)
			is.True(repeat.repeated)
			f.checkInvariants()
		})
	}
}
