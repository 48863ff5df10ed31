package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

type noServer struct{}

func (noServer) Name() string            { return "" }
func (noServer) View() *placement.Server { return nil }

type noServers struct{}

func (noServers) PrefillServers(_ string, out []noServer) []noServer { return out }
func (noServers) DecodeServers(_ string, out []noServer) []noServer  { return out }
func (noServers) Assigned(noServer)                                  {}

// TestExplainCountsNoJob guards against questions of operators that change the order of the
// jobs of callers: one in some less urgent jobs counts as urgent, and sizes are averaged.
func TestExplainCountsNoJob(t *testing.T) {
	is := is.New(t)
	d := New(noServers{}, Options{
		MaxQueued: 10, NewPlanner: func(string) *placement.Planner { return placement.NewPlanner() },
		Policy: admission.Default(), Order: schedule.FairArrivalOrder(),
	})
	j := &Job{Model: "m", Weight: 1, PromptTokens: 5000, MaxTokens: 100, Priority: 2, Competing: true, Goal: admission.Goal{FirstToken: time.Second}}
	for range aging {
		d.Explain(j)
	}
	p := d.pools["m"]
	is.Equal(p.lessUrgent+p.lessUrgentLarge+p.sizes.Samples(), 0)
	is.True(!p.competing.enabled)
	is.Equal(d.QueueLength(), 0)
}
