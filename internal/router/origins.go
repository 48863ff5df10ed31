package router

import (
	"context"
	"expvar"
	"slices"
	"strings"
	"time"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/metrics"
	"github.com/samphirestream/samphirestream/internal/origin"
	"github.com/samphirestream/samphirestream/internal/sleep"
)

// Timing of streams that go on at one version of the servers' software.
const (
	// askInterval is the time after which the other entries, and more keepers, are asked what
	// began a stream, since datagrams are lost, and askTimeout that after which nobody is taken
	// to know.
	askInterval = 40 * time.Millisecond
	askTimeout  = 100 * time.Millisecond
	// settleTime is the time after the first answer in which others arrive: several round trips
	// within a region.
	settleTime = 40 * time.Millisecond
	// refreshInterval is the interval at which the streams that are relayed are recorded again,
	// so that long ones are remembered for some time after they break off.
	refreshInterval = origin.Retention / 2
)

// originSource is how the version that began a stream became known.
type originSource string

// Sources of the version that began a stream.
const (
	// originRecorded: this entry has it recorded.
	originRecorded originSource = "record"
	// originAsked: another process answered.
	originAsked originSource = "peers"
	// originOnly: no other version can have begun it.
	originOnly    originSource = "only_version"
	originUnknown originSource = "unknown"
)

func newTakenUpCounters(set *metrics.Set) map[originSource]*expvar.Int {
	out := map[originSource]*expvar.Int{}
	for _, s := range []originSource{originRecorded, originAsked, originOnly, originUnknown} {
		out[s] = set.Counter("taken_up_" + string(s))
	}
	return out
}

// SetRemoteOrigins stores what began streams that other entries relay.
func (r *Router) SetRemoteOrigins(o origin.Origin, streams []origin.Key) {
	for _, k := range streams {
		r.origins.Put(k, o)
	}
}

// Origin returns what began a stream, if this entry has it recorded.
func (r *Router) Origin(stream origin.Key) (o origin.Origin, ok bool) { return r.origins.Get(stream) }

// putOrigin records what began a stream.
func (r *Router) putOrigin(s origin.Stream, o origin.Origin) {
	r.origins.Put(s.ID, o)
	r.origins.Put(s.Content, o)
}

// stream returns the keys of the stream that the call begins or takes up.
func (x *exchange) stream() origin.Stream {
	if x.keys == (origin.Stream{}) {
		c := x.call
		x.keys = origin.NewStream(c.streamID(), x.organisationName(), c.Host, c.Method, c.Target, strings.Join(c.SharedParts, ","), c.OwnPart, string(c.Body))
	}
	return x.keys
}

// askedKey returns the key by which the stream is known that the call takes up.
func (x *exchange) askedKey() origin.Key {
	if x.call.Resumes == "" {
		return x.stream().Content
	}
	return x.stream().ID
}

// recordOrigin remembers that a server begins the stream of the call, or continues it, and
// reports it to others before the first event is sent: they need it if this entry ends.
func (x *exchange) recordOrigin(b *backend) {
	x.software = b.server.Load().Software
	if !x.route.Resumable {
		return
	}
	r, s, o := x.router, x.stream(), origin.Origin{Service: x.service, Software: x.software}
	r.putOrigin(s, o)
	if r.options.Peers == nil {
		return
	}
	keepers := origin.KeepersOf(s.Content, x.software, r.fleet.keepers(x.service))
	r.relayed.begin(relayedStream{Stream: s, origin: o, keepers: keepers})
	x.relayed = true
	r.options.Peers.TellOrigin(s, o, keepers)
}

// restartRemedy is the remedy of calls whose stream can not go on.
const restartRemedy = "send the request again without the events that were received"

// findOrigin finds out what began the stream that the call takes up, and has it go on at the same
// service: the shares of the route may have changed since. The refusal is not nil if the stream
// can not go on.
func (x *exchange) findOrigin(ctx context.Context, c *directory.Config) *apierror.Error {
	if x.call.LastEvent == "" || !x.route.Resumable || x.route.Kind != directory.Streaming {
		return nil
	}
	o, source := x.originOf(ctx, c)
	if source == "" {
		return nil // plain services have no versions
	}
	x.knownBy = source
	x.router.count.takenUp[source].Add(1)
	switch {
	case source == originUnknown:
		x.warn("stream of unknown origin", append([]any{"takes_up", x.call.Resumes}, x.missing...)...)
		return apierror.NotRun(apierror.KindUnavailable, "it is not known which version of the servers began the stream", restartRemedy)
	case o.Service != "" && !x.route.Sends(o.Service):
		x.warn("the route no longer has the service that began the stream", "takes_up", x.call.Resumes, "service", o.Service)
		return apierror.NotRun(apierror.KindUnavailable, "the service that began the stream no longer serves its route", restartRemedy)
	case o.Service != "":
		x.service = o.Service
	}
	x.software, x.begun = o.Software, true
	return nil
}

// originOf returns what began the stream of the call, and how that became known; "" for a stream
// of a plain service.
func (x *exchange) originOf(ctx context.Context, c *directory.Config) (origin.Origin, originSource) {
	o, known := x.router.origins.Get(x.askedKey())
	source := originRecorded
	if !known && !c.HasEngine(x.service) {
		return origin.Origin{}, ""
	}
	if !known {
		source = originAsked
	}
	if !known || x.call.Resumes == "" {
		// Others are asked first: what this entry has seen of the servers, or of those who ask the
		// same, may not be all.
		o, known = x.askOrigin(ctx)
	}
	switch {
	case o.Ambiguous:
		return x.unknownOrigin(missingRecord)
	case known:
		return o, source
	}
	return x.onlyOrigin(ctx)
}

// askOrigin asks the other entries, and the keepers beside the servers of all services, what
// began the stream of the call.
func (x *exchange) askOrigin(ctx context.Context) (o origin.Origin, known bool) {
	peers, k, s := x.router.options.Peers, x.askedKey(), x.stream()
	if peers == nil {
		return x.router.origins.Get(k)
	}
	// keepers returns the keepers beside the servers of all services that choose selects.
	keepers := func(choose func(origin.Key, []origin.Keeper) []string) (all []string) {
		for _, beside := range x.router.fleet.allKeepers() {
			all = append(all, choose(s.Content, beside)...)
		}
		return all
	}
	if !peers.AskOrigin(k, s, keepers(origin.Asked)) {
		return x.router.origins.Get(k)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	again := time.AfterFunc(askInterval, func() { peers.AskOrigin(k, s, keepers(origin.AskedNext)) })
	defer again.Stop()
	o, known = x.router.origins.Wait(ctx, k)
	if known && x.call.Resumes == "" {
		// The other answers may tell of another stream with the same content.
		sleep.WithContext(ctx, settleTime)
		o, known = x.router.origins.Get(k)
	}
	return o, known
}

// pinned reports whether the call continues a stream that only some of the servers of its
// service may continue.
func (x *exchange) pinned() bool {
	return x.begun && slices.ContainsFunc(x.router.fleet.softwareWithin(x.service, x.route.Timeout), func(v string) bool { return v != x.software })
}

// mayDecode reports whether a server may continue the stream of the call.
func (x *exchange) mayDecode(server string) bool {
	b := x.router.fleet.get(server)
	return b != nil && (!x.begun || b.server.Load().Software == x.software)
}

// FollowServers follows the servers until stop is closed. It tells keepers that are new, or have
// been silent, of the streams that this entry relays.
func (r *Router) FollowServers(stop <-chan struct{}) {
	refresh, check := time.NewTicker(refreshInterval), time.NewTicker(keeperSilence)
	defer refresh.Stop()
	defer check.Stop()
	for {
		changed := r.directory.Changed()
		r.fleet.sync()
		r.tellNewKeepers()
		select {
		case <-stop:
			return
		case <-refresh.C:
			r.refreshRelayed()
		case <-check.C:
			r.tellSilentKeepers()
		case <-changed:
		}
	}
}

// hasSoftware reports whether a decode server of a service takes work that has a version
// of software.
func (f *fleet) hasSoftware(service, software string) bool {
	f.sync()
	f.mu.RLock()
	defer f.mu.RUnlock()
	now := time.Now()
	for _, s := range f.synced.Services[service] {
		b := f.backends[s.ID]
		if b != nil && s.Stage == directory.Decode && s.Software == software && b.acceptsWork(now) {
			return true
		}
	}
	return false
}
