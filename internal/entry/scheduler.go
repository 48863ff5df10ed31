package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/admission"
	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/logging"
	"github.com/samphirestream/samphirestream/internal/placement"
	"github.com/samphirestream/samphirestream/internal/protocol"
	"github.com/samphirestream/samphirestream/internal/release"
	"github.com/samphirestream/samphirestream/internal/schedule"
)

// overloadRetry is the retry delay recommended with errors that have no better
// estimate.
const overloadRetry = 2 * time.Second

type (
	scheduler  = dispatch.Dispatcher[*agentConn]
	waiter     = dispatch.Waiter[*agentConn]
	assignment = dispatch.Assignment[*agentConn]
)

func newScheduler(e *Entry, limit int) *scheduler {
	return dispatch.New(agentFleet{e}, dispatch.Options{
		MaxQueued: limit, NewPlanner: func(string) *placement.Planner { return placement.NewPlanner() },
		Policy: admission.Default(), Order: schedule.DefaultOrder(),
	})
}

// agentFleet lists the servers of the release note in force.
type agentFleet struct{ entry *Entry }

// PrefillServers implements dispatch.Fleet.
func (f agentFleet) PrefillServers(model string, out []*agentConn) []*agentConn {
	return f.pool(release.RolePrefill, model, out)
}

// DecodeServers implements dispatch.Fleet.
func (f agentFleet) DecodeServers(model string, out []*agentConn) []*agentConn {
	return f.pool(release.RoleDecode, model, out)
}

// Assigned implements dispatch.Fleet.
func (agentFleet) Assigned(*agentConn) {}

// pool appends the connected servers of a role and model to out. It updates
// Unavailable in the view of each.
func (f agentFleet) pool(role release.Role, model string, out []*agentConn) []*agentConn {
	first := len(out)
	out = f.connected(role, model, out)
	for _, c := range out[first:] {
		c.view.Unavailable = !c.usable()
	}
	return out
}

// connected appends the connected servers of a role and model to out.
func (f agentFleet) connected(role release.Role, model string, out []*agentConn) []*agentConn {
	table := *f.entry.fleet.table.Load()
	for _, b := range f.entry.store.Current().Pool(role, model) {
		if c, ok := table[b.Name]; ok {
			out = append(out, c)
		}
	}
	return out
}

// Name implements dispatch.Server.
func (c *agentConn) Name() string { return c.server.Name }

// View implements dispatch.Server.
func (c *agentConn) View() *placement.Server { return &c.view }

// updateScheduler passes a load report of the agent to the scheduler.
func (c *agentConn) updateScheduler(l protocol.Load) {
	c.entry.sched.RecordReport(c, placement.Report{
		SlotsUsed: l.SlotsUsed, SlotsTotal: l.SlotsTotal,
		PiecesUsed: l.PiecesUsed, PiecesTotal: l.PiecesTotal, QueuedTokens: l.QueuedTokens,
	})
}

// goal returns the latency targets and the objective of a job's provider.
func (j *job) goal() admission.Goal {
	t, o := j.provider.Targets, j.provider.Objective
	return admission.NewGoal(t.FirstToken, t.BetweenTokens, o.Goodput, o.WastedPrefill)
}

// dispatchJob returns the job in the form that the scheduler takes. An answer that has begun
// goes on only at servers of the software that began it.
func (e *Entry) dispatchJob(j *job) *dispatch.Job {
	out := &dispatch.Job{
		Model: j.model.Key(), Provider: j.provider.Name, Weight: j.provider.Weight,
		Goal:         j.goal(),
		PromptTokens: j.promptTokens + len(j.delivered), MaxTokens: j.maxTokens,
		Pieces:   protocol.Pieces(j.promptTokens + j.maxTokens),
		Prefixes: j.prefixes, Urgent: j.urgent, FailedServers: e.avoidedServers(j),
	}
	if len(j.delivered) > 0 && e.otherSoftware(j) {
		out.MayDecode = func(server string) bool {
			c, ok := e.fleet.get(server)
			return ok && c.software() == j.software
		}
	}
	return out
}

// avoidedServers returns the servers that a job avoids. A decode server at which a prefill result
// had expired is not avoided if those that are left do not work.
func (e *Entry) avoidedServers(j *job) map[string]bool {
	if len(j.answeredServers) == 0 {
		return j.failedServers
	}
	avoided := maps.Clone(j.failedServers)
	maps.Copy(avoided, j.answeredServers)
	if e.anyDecodeServer(j, func(c *agentConn) bool { return c.usable() && !avoided[c.Name()] }) {
		return avoided
	}
	return j.failedServers
}

// otherSoftware reports whether a decode server of a job's model has other software than
// began its answer.
func (e *Entry) otherSoftware(j *job) bool {
	return e.anyDecodeServer(j, func(c *agentConn) bool { return c.software() != j.software })
}

// canContinue reports whether a usable decode server has the software that began the answer
// of a job.
func (e *Entry) canContinue(j *job) bool {
	return e.anyDecodeServer(j, func(c *agentConn) bool { return c.usable() && c.software() == j.software })
}

// anyDecodeServer reports whether a connected decode server of a job's model meets a
// condition.
func (e *Entry) anyDecodeServer(j *job, meets func(c *agentConn) bool) bool {
	return slices.ContainsFunc(agentFleet{e}.connected(release.RoleDecode, j.model.Key(), nil), meets)
}

// schedulerError converts an error of Offer or Acquire. A refusal is final.
func (j *job) schedulerError(ctx context.Context, err error) error {
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		return callFailure(ctx, err)
	}
	j.refused = true
	_ = level.Info(logging.FromContext(ctx)).Log(append([]any{"msg", "refused by prediction", "target_ms", j.goal().FirstToken.Milliseconds(), "retry_after_ms", refusal.RetryAfter.Milliseconds()},
		refusal.State.LogFields()...)...)
	return apierror.NotRun(apierror.KindOverloaded, refusal.Reason, "retry after the delay").WithRetryAfter(refusal.RetryAfter)
}
