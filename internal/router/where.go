package router

import (
	"cmp"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/dispatch"
	"github.com/samphirestream/samphirestream/internal/quota"
)

// Question describes a request for Where.
type Question struct {
	Host, Path, Organisation string
	// PromptTokens and MaxTokens are the lengths of the prompt and of the longest answer in
	// tokens; 0 for requests without a model.
	PromptTokens, MaxTokens int
}

// Where is what this entry would do with a request now, and why.
type Where struct {
	// Version is that of the configuration in force, and ReadAgo the time in milliseconds since
	// the registry was last read.
	Version uint64
	ReadAgo int64
	// KeyAge is the age in milliseconds of what is known of the keys; -1 if it is not bounded.
	KeyAge                   int64
	Route, Service, Priority string
	// Refusal is the error that the caller would get; nil if the request would be sent or wait.
	Refusal *apierror.Error `json:",omitempty"`
	// Quota is the quota of the organisation, and Cost what the request would be charged.
	Quota *quota.Row `json:",omitempty"`
	Cost  float64
	// Server is the plain server with the least cost of Plain. With some knowledge that is old,
	// another one may be drawn.
	Server string
	Plain  []PlainCandidate `json:",omitempty"`
	// Model has the choice of servers for a request to a model.
	Model *dispatch.Explanation `json:",omitempty"`
}

// PlainCandidate is a server of a plain service.
type PlainCandidate struct {
	Server string
	// Dropped is why the server is not considered; "" if it is.
	Dropped string
	Cost    float64
	// Calls are this entry's in progress, and OtherCalls those of the others, which are known as
	// of KnownAge milliseconds ago.
	Calls, OtherCalls, KnownAge int64
	WorkMillis                  int64
}

// Where returns what would be done with a request now, without sending, queueing or charging
// it.
func (r *Router) Where(q Question) Where {
	snap := r.directory.Current()
	out := Where{ReadAgo: snap.ServersKnown.Age(time.Now()).Milliseconds(), KeyAge: -1}
	if age, limit := r.keyAge(); limit > 0 {
		out.KeyAge = age.Milliseconds()
	}
	if snap.Config == nil {
		out.Refusal = refuseStarting()
		return out
	}
	out.Version = snap.Config.Version
	now := time.Now()
	x := &exchange{router: r, route: snap.Route(q.Host, q.Path), tried: map[string]bool{}}
	x.call = &Call{Host: q.Host, Path: q.Path, Arrived: now, PromptTokens: q.PromptTokens, MaxTokens: q.MaxTokens}
	if x.route == nil {
		out.Refusal = refuseNoRoute(x.call)
		return out
	}
	x.deadline = now.Add(x.route.Timeout)
	x.call.Deadline = x.deadline
	if out.Refusal = x.whereOrganisation(snap.Config, q.Organisation); out.Refusal != nil {
		return out
	}
	x.service = x.route.Service(x.call.streamID())
	out.Route, out.Service, out.Priority = x.route.Name, x.service, strconv.Itoa(x.priority())
	if out.whereQuota(r, x); out.Refusal != nil {
		return out
	}
	if snap.Config.HasEngine(x.service) && x.route.Kind == directory.Streaming {
		e := r.dispatch.Explain(x.newJob(false))
		if out.Model = &e; e.Refusal != "" {
			out.Refusal = apierror.NotRun(apierror.KindOverloaded, e.Refusal, "retry after the delay")
		}
		return out
	}
	out.wherePlain(r, x)
	return out
}

// whereOrganisation sets the organisation by its name, as keys are not given to operators.
func (x *exchange) whereOrganisation(c *directory.Config, name string) *apierror.Error {
	if c.Keys == nil || x.route.Public {
		return nil
	}
	if x.router.KeysStale() {
		return staleKeys("keys may have been withdrawn that this entry has not read", 0)
	}
	i := slices.IndexFunc(c.Organisations, func(o *directory.Organisation) bool { return o.Name == name })
	if i < 0 {
		return apierror.NotRun(apierror.KindUnauthenticated, "the organisation is missing or unknown", "name one of the configuration")
	}
	x.organisation = c.Organisations[i]
	return nil
}

// whereQuota adds the state of the quota, and a refusal if it is used up.
func (w *Where) whereQuota(r *Router, x *exchange) {
	if x.organisation == nil || x.organisation.Quota.Rate <= 0 {
		return
	}
	w.Cost = x.organisation.Quota.Cost(x.call.PromptTokens + x.call.MaxTokens)
	state := r.quotas.State(time.Now())
	i := slices.IndexFunc(state.Rows, func(row quota.Row) bool { return row.Organisation == x.organisation.Name })
	if i < 0 {
		return
	}
	w.Quota = &state.Rows[i]
	if w.Quota.Level <= 0 {
		w.Refusal = refuseOverQuota()
	}
}

// wherePlain adds the servers of a plain service, the one of the least cost first.
func (w *Where) wherePlain(r *Router, x *exchange) {
	now, age := time.Now(), time.Duration(0)
	if r.options.Peers != nil {
		age = r.options.Peers.UsageAge()
	}
	considered := map[*backend]bool{}
	for _, b := range r.fleet.plain(x.service, nil) {
		considered[b] = true
	}
	for _, s := range r.directory.Current().Services[x.service] {
		b := r.fleet.get(s.ID)
		if b == nil {
			continue
		}
		c := PlainCandidate{
			Server: s.ID, Cost: r.plainCost(b, now), Calls: b.localCalls.Load(), OtherCalls: b.remoteCalls.Load(),
			KnownAge: knownFor(b, age).Milliseconds(), WorkMillis: r.callTime(b, now).Milliseconds(),
		}
		switch {
		case considered[b]:
		case b.leaving():
			c.Dropped = "leaving"
		case !r.fleet.admits(b, now):
			c.Dropped = "takes no request now"
		default:
			c.Dropped = "suspected or replaced"
		}
		w.Plain = append(w.Plain, c)
	}
	slices.SortFunc(w.Plain, func(a, b PlainCandidate) int {
		return cmp.Or(cmp.Compare(len(a.Dropped), len(b.Dropped)), cmp.Compare(a.Cost, b.Cost))
	})
	if len(w.Plain) == 0 || w.Plain[0].Dropped != "" {
		w.Refusal = x.noServer()
		return
	}
	w.Server = w.Plain[0].Server
	if x.backlogExcess(r.fleet.get(w.Server)) > 0 {
		w.Refusal = x.refuseBacklog()
	}
}

// ServeWhere answers the questions of operators as JSON. The query has host, path,
// organisation, prompt and answer, the last two in tokens.
func (r *Router) ServeWhere(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	question := Question{Host: q.Get("host"), Path: q.Get("path"), Organisation: q.Get("organisation")}
	for name, field := range map[string]*int{"prompt": &question.PromptTokens, "answer": &question.MaxTokens} {
		text := cmp.Or(q.Get(name), "0")
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > math.MaxInt32 {
			http.Error(w, name+": give a number of tokens, not "+strconv.Quote(text), http.StatusBadRequest)
			return
		}
		*field = n
	}
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	_ = out.Encode(r.Where(question)) // fails if the operator disconnected
}
