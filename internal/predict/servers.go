package predict

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// serverMemory is the time in which the weight of an observation of one server falls
	// to 1/e: with an observation a second, the mean is exact to some percent, and follows a
	// server whose speed changes within minutes.
	serverMemory = 2 * time.Minute
	// factorPrior is the number of observations, or of servers, that the assumption weighs
	// that a server is as fast as those of its data centre, or a data centre as the service.
	factorPrior = 2
	// minSharedWeight is the weight from which observations are shared.
	minSharedWeight = 0.05
	// maxSharedWeight is more than a process can observe of one server in serverMemory.
	maxSharedWeight = 1e6
)

// MeanSums are weighted sums of samples (x, y). Those of several processes add up.
type MeanSums struct{ Weight, X, Y float64 }

func (s MeanSums) plus(o MeanSums) MeanSums {
	return MeanSums{Weight: s.Weight + o.Weight, X: s.X + o.X, Y: s.Y + o.Y}
}

func (s MeanSums) times(f float64) MeanSums {
	return MeanSums{Weight: f * s.Weight, X: f * s.X, Y: f * s.Y}
}

// valid reports whether sums can be those of samples with x >= 0 and y > 0.
func (s MeanSums) valid() bool {
	for _, v := range []float64{s.Weight, s.X, s.Y} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return s.Weight <= maxSharedWeight && (s.Weight > 0) == (s.Y > 0)
}

// quantity is what is measured of each server.
type quantity int

// The quantities, with the y of their samples. x is the number of running requests for
// stepTime and unused otherwise.
const (
	prefillRate quantity = iota // tokens a millisecond
	stepTime                    // milliseconds between tokens
	callTime                    // milliseconds of a plain call
	quantities
)

// ServerSums are what one process has observed of the speed of one boot of a server. They
// have the observations and not their ratios to the speeds of the service, of which the
// processes have different estimates at first.
type ServerSums [quantities]MeanSums

// Weight returns the weight of all observations.
func (s ServerSums) Weight() float64 {
	sum := 0.0
	for _, q := range s {
		sum += q.Weight
	}
	return sum
}

// Shared reports whether there is enough to share.
func (s ServerSums) Shared() bool { return s.Weight() >= minSharedWeight }

// Servers are the servers of one service, which are compared with each other. It is safe
// for concurrent use.
type Servers struct {
	mu    sync.Mutex // guards the content of all sites and servers too
	sites map[string]*site
	// version increases with each change of the servers or of their observations.
	version uint64
	// usualCall is the mean time of a call over all servers, as of usualVersion.
	usualCall    float64
	usualVersion uint64
}

// site has the servers of one data centre.
type site struct {
	servers []*ServerSpeeds
	means   [quantities]cached
}

// cached is a factor as of a version of the observations and for a speed of the service.
type cached struct {
	version      uint64
	usual, value float64
}

// NewServers returns a service without servers.
func NewServers() *Servers { return &Servers{sites: map[string]*site{}} }

// ServerSpeeds are the speeds of one boot of one server, from the observations of this
// process and of others at the usual pace.
type ServerSpeeds struct {
	servers       *Servers
	dataCentre    string
	site          *site
	local, remote ServerSums
	factors       [quantities]cached
	at            time.Duration // of local
}

// Add adds a server without observations.
func (s *Servers) Add(dataCentre string) *ServerSpeeds {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.sites[dataCentre]
	if !ok {
		at = &site{}
		s.sites[dataCentre] = at
	}
	o := &ServerSpeeds{servers: s, dataCentre: dataCentre, site: at}
	at.servers = append(at.servers, o)
	s.version++
	return o
}

// Remove ends the comparison with a server that has left.
func (s *Servers) Remove(o *ServerSpeeds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o.site.servers = slices.DeleteFunc(o.site.servers, func(other *ServerSpeeds) bool { return other == o })
	s.version++
	if len(o.site.servers) == 0 && s.sites[o.dataCentre] == o.site {
		delete(s.sites, o.dataCentre)
	}
}

// AddPrefill adds the speed of a prefill at the usual pace, in tokens a millisecond.
func (o *ServerSpeeds) AddPrefill(now time.Duration, rate float64) { o.add(now, prefillRate, 0, rate) }

// AddStep adds the time between the tokens of one of a number of running requests at the
// usual pace, in milliseconds.
func (o *ServerSpeeds) AddStep(now time.Duration, running int, millis float64) {
	o.add(now, stepTime, float64(running), millis)
}

// AddCall adds the time of a plain call at the usual pace, in milliseconds.
func (o *ServerSpeeds) AddCall(now time.Duration, millis float64) { o.add(now, callTime, 0, millis) }

func (o *ServerSpeeds) add(now time.Duration, q quantity, x, y float64) {
	if y <= 0 || math.IsNaN(y) || math.IsInf(y, 0) {
		return
	}
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	o.fade(now)
	o.local[q] = o.local[q].plus(MeanSums{Weight: 1, X: x, Y: y})
	o.servers.version++
}

// fade lowers the weight of the local observations by their age.
func (o *ServerSpeeds) fade(now time.Duration) {
	if now <= o.at {
		return
	}
	keep := math.Exp(-(now - o.at).Seconds() / serverMemory.Seconds())
	for q := range o.local {
		o.local[q] = o.local[q].times(keep)
	}
	o.at = now
}

// Local returns what this process has observed, weighted by its age.
func (o *ServerSpeeds) Local(now time.Duration) ServerSums {
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	o.fade(now)
	return o.local
}

// SetRemote sets what the other processes have observed. Sums that no observations can
// have are ignored.
func (o *ServerSpeeds) SetRemote(others []ServerSums) {
	var all ServerSums
	for _, s := range others {
		for q := range s {
			if s[q].valid() {
				all[q] = all[q].plus(s[q])
			}
		}
	}
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	o.remote = all
	o.servers.version++
}

func (o *ServerSpeeds) sums(q quantity) MeanSums { return o.local[q].plus(o.remote[q]) }

// Weight returns the weight of the observations of this process and of the others.
func (o *ServerSpeeds) Weight() (local, remote float64) {
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	return o.local.Weight(), o.remote.Weight()
}

// PrefillFactor returns the speed of the server's prefills in multiples of that of its
// service.
func (o *ServerSpeeds) PrefillFactor(s *Speeds) float64 {
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	return o.factor(prefillRate, func(float64) float64 { return s.PrefillRate() })
}

// StepFactor returns the time between tokens at the server in multiples of that of its
// service.
func (o *ServerSpeeds) StepFactor(s *Speeds) float64 {
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	// The time is a straight line of x, so that its value at the mean x is its mean.
	return o.factor(stepTime, s.stepAt)
}

// Call returns the time of a plain call at the server in milliseconds, and in multiples of
// that of its service; 0 and 1 while no call of the service was observed.
func (o *ServerSpeeds) Call() (millis, factor float64) {
	o.servers.mu.Lock()
	defer o.servers.mu.Unlock()
	usual := o.servers.usualCallMillis()
	if usual == 0 {
		return 0, 1
	}
	factor = o.factor(callTime, func(float64) float64 { return usual })
	return factor * usual, factor
}

// usualCallMillis returns the mean time of a call over the servers, and not over the calls,
// of which the fast servers get more; 0 without observations.
func (s *Servers) usualCallMillis() float64 {
	if s.usualVersion == s.version {
		return s.usualCall
	}
	weight, sum := 0.0, 0.0
	for _, at := range s.sites {
		for _, o := range at.servers {
			if m := o.sums(callTime); m.Weight > 0 {
				weight, sum = weight+m.known(), sum+m.known()*m.Y/m.Weight
			}
		}
	}
	s.usualCall, s.usualVersion = 0, s.version
	if weight > 0 {
		s.usualCall = sum / weight
	}
	return s.usualCall
}

// known returns how much the mean of the sums counts among those of other servers, from 0
// to 1.
func (s MeanSums) known() float64 { return s.Weight / (s.Weight + factorPrior) }

// factor returns the server's mean in multiples of the usual one, drawn towards the mean of
// its data centre while it has few observations.
func (o *ServerSpeeds) factor(q quantity, usual func(x float64) float64) float64 {
	at := usual(1)
	if c := o.factors[q]; c.version == o.servers.version && c.usual == at {
		return c.value
	}
	value := o.servers.siteFactor(o.site, q, usual)
	if m := o.sums(q); m.Weight > 0 {
		value = (m.Y/usual(m.X/m.Weight) + factorPrior*value) / (m.Weight + factorPrior)
	}
	o.factors[q] = cached{version: o.servers.version, usual: at, value: value}
	return value
}

// siteFactor returns the mean factor of the servers of a data centre, whose machines may all
// be slow. It is drawn towards 1 while few of them have observations.
func (s *Servers) siteFactor(at *site, q quantity, usual func(x float64) float64) float64 {
	mean := &at.means[q]
	if mean.version == s.version && mean.usual == usual(1) {
		return mean.value
	}
	weight, sum := float64(factorPrior), float64(factorPrior)
	for _, o := range at.servers {
		if m := o.sums(q); m.Weight > 0 {
			weight, sum = weight+m.known(), sum+m.known()*m.Y/m.Weight/usual(m.X/m.Weight)
		}
	}
	*mean = cached{version: s.version, usual: usual(1), value: sum / weight}
	return mean.value
}
