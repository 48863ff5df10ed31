package router

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/blame"
	"github.com/samphirestream/samphirestream/internal/upstream"
)

// survivedAfter is the time for which a server must have streamed an answer to count as one
// that survives the request. Servers that end under a request do so when its answer begins.
const survivedAfter = time.Second

// sharedCauses returns the causes of a call that other calls may have: the shared parts of
// its prompt.
func sharedCauses(c *Call) []blame.Key {
	out := make([]blame.Key, 0, len(c.SharedParts))
	for _, part := range c.SharedParts {
		out = append(out, blame.PartKey(c.Host, part))
	}
	return out
}

// ownCauses returns the causes that only repetitions of a call have: its content, and that
// with its caller.
func ownCauses(c *Call) []blame.Key {
	content := blame.NewKey("request", c.Host, c.Method, c.Target, string(c.Body), strings.Join(c.SharedParts, ","), c.OwnPart)
	return []blame.Key{content, blame.NewKey("caller", string(content[:]), c.Caller)}
}

// causes returns what may be the reason why a server ends under the call. Hashing the call
// itself is put off until a server has ended.
func (x *exchange) causes() blame.Request {
	if x.ownCauses == nil && !x.router.blame.Empty() {
		x.ownCauses = ownCauses(x.call)
	}
	return blame.Request{Own: x.ownCauses, Shared: x.sharedCauses}
}

// fingerprint returns a text that repetitions of the call have in common, for logs.
func (x *exchange) fingerprint() string {
	return hex.EncodeToString(ownCauses(x.call)[0][:fingerprintBytes])
}

const fingerprintBytes = 6

// errEndsServers is the error of a call that no server may run, since servers end under
// calls like it.
var errEndsServers = errors.New("servers have ended under requests like this one")

// blamed returns why servers must not run the call; nil if they may.
func (x *exchange) blamed() *blame.Blame { return x.router.blame.Blamed(x.causes(), time.Now()) }

// refuseBlamed returns a refusal if servers must not run the call.
func (x *exchange) refuseBlamed() *apierror.Error {
	b := x.blamed()
	if b == nil {
		return nil
	}
	x.router.count.refusedBlamed.Add(1)
	x.warn("refused since servers end under it", "causes", x.describe(b.Causes), "keys", fmt.Sprint(b.Causes), "ends", b.Ends, "requests", b.Requests, "servers", b.Servers, "last_end_ms", time.Since(b.Last).Milliseconds(), "for_ms", time.Until(b.Until).Milliseconds())
	message := fmt.Sprintf("%d servers have ended under requests with %s", b.Ends, strings.Join(x.describe(b.Causes), ", "))
	const remedy = "do not send it again; the operators find the servers in the log by the request's ID"
	if x.attempts > 0 {
		return apierror.Unknown(apierror.KindEndsServers, message, remedy)
	}
	return apierror.NotRun(apierror.KindEndsServers, message, remedy).WithRetryAfter(time.Until(b.Until))
}

// describe returns some causes of the call as texts.
func (x *exchange) describe(keys []blame.Key) []string {
	var out []string
	for _, k := range keys {
		if i := slices.Index(x.sharedCauses, k); i >= 0 {
			out = append(out, "part "+x.call.SharedParts[i])
		} else {
			out = append(out, [...]string{"this content", "this content and caller"}[slices.Index(x.ownCauses, k)])
		}
	}
	return out
}

// lost handles a request that a server accepted and that broke off: if the server takes no
// connections any more, it is suspected, and unless its end was planned or it survived the
// request for a while, the request may be the reason. serverEvents is the number of events
// that this server had sent.
func (x *exchange) lost(b *backend, serverEvents int, survived bool, err error) {
	unreached := x.router.reach(context.Background(), b)
	if unreached == nil {
		return
	}
	x.router.count.lostWithServer.Add(1)
	x.warn("server ended under the request", "server", b.Name(), "boot", b.server.Load().Started, "parts", x.call.SharedParts,
		"server_events", serverEvents, "survived", survived, "decode_ms", time.Since(x.prefilled).Milliseconds(), "err", unreached)
	x.suspect(b, unreached)
	planned := b.leaving() || x.router.fleet.get(b.Name()) != b
	if survived || planned || timedOut(err) || timedOut(unreached) {
		return
	}
	r := x.router
	end := blame.End{
		Boot: bootOf(b.server.Load()), DataCentre: b.server.Load().DataCentre, At: time.Now(),
		Requests: []blame.Request{{Own: ownCauses(x.call), Shared: x.sharedCauses, Alone: x.onTrial}},
	}
	known := r.addEnd(end)
	x.endTrial(true)
	if r.options.Peers != nil {
		r.options.Peers.ReportEnd(end)
		if len(known) > 0 {
			r.options.Peers.ReportSurvived(known)
		}
	}
}

// timedOut reports whether an exchange failed by a timeout. A server that ended closes its
// connections and refuses new ones.
func timedOut(err error) bool {
	var e *upstream.Error
	return errors.As(err, &e) && e.Timeout
}

// survived records that a server survived the call.
func (x *exchange) survived() {
	now := time.Now()
	cleared := x.router.blame.AddSurvived(x.causes(), now)
	if len(cleared) == 0 {
		return
	}
	x.log("cleared of the ends of servers", "causes", x.describe(cleared))
	if x.router.options.Peers == nil {
		return
	}
	out := map[blame.Key]time.Time{}
	for _, c := range cleared {
		out[c] = now
	}
	x.router.options.Peers.ReportSurvived(out)
}

// addEnd records the end of a server, and logs what is blamed for it from now on.
func (r *Router) addEnd(e blame.End) (survived map[blame.Key]time.Time) {
	before := len(r.blame.Blames(time.Now()))
	survived = r.blame.AddEnd(e)
	if all := r.blame.Blames(time.Now()); len(all) > before {
		for _, b := range all[:len(all)-before] {
			_ = level.Warn(r.log).Log("msg", "servers end under requests", "causes", fmt.Sprint(b.Causes), "ends", b.Ends, "requests", b.Requests, "servers", b.Servers)
		}
	}
	return survived
}

// AddRemoteEnd records a server that ended under requests of another entry.
func (r *Router) AddRemoteEnd(e blame.End) {
	known := r.addEnd(e)
	if len(known) > 0 && r.options.Peers != nil {
		r.options.Peers.ReportSurvived(known)
	}
}

// AddRemoteSurvived records that a server survived a request of another entry.
func (r *Router) AddRemoteSurvived(cause blame.Key, at time.Time) {
	r.blame.AddSurvived(blame.Request{Shared: []blame.Key{cause}}, at)
}

// Evidence returns what is recorded of servers that ended, for an entry that has started.
func (r *Router) Evidence() ([]blame.End, map[blame.Key]time.Time) { return r.blame.Evidence() }
