package emulator_test

import (
	"fmt"
	"testing"

	"github.com/samphirestream/samphirestream/internal/emulator"
)

func show(t *testing.T, o emulator.Options, r emulator.Result) {
	p, d := emulator.Demand(&o.Engine, &o.Load)
	p *= o.Load.PerSecond
	d *= o.Load.PerSecond
	e := o.Engine
	mean := o.Load.PromptTokens + o.Load.AnswerEvents*float64(e.EventTokens)/2
	fmt.Printf("SHOW P %.1f of init %d, D %.1f, runs/server %.1f slots %d, target %v prefill %.0fms answer %.1fs: ontime %.2f late %d refused %d of %d orders %d\n", p, e.PrefillServers, d, float64(e.MemoryTokens)/mean, e.Slots, o.Load.FirstToken, o.Load.PromptTokens/e.PrefillRate, o.Load.AnswerEvents*float64(e.EventTokens)*e.Step.Seconds(), float64(r.OnTime)/float64(r.Requests), r.Late, r.Refused, r.Requests, r.Orders)
}
