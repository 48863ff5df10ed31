package emulator

import (
	"math"
	"math/rand/v2"
	"time"
)

// Load describes the callers of one route.
type Load struct {
	// PerSecond is the mean number of requests a second, in a Poisson process.
	PerSecond float64 `yaml:"per_second"`
	// PromptTokens and AnswerEvents are the means of log-normal distributions with the
	// standard deviations PromptSigma and AnswerSigma of the logarithm, cut off at
	// twice the mean.
	PromptTokens float64 `yaml:"prompt_tokens"`
	PromptSigma  float64 `yaml:"prompt_sigma"`
	AnswerEvents float64 `yaml:"answer_events"`
	AnswerSigma  float64 `yaml:"answer_sigma"`
	// HintSigma is the standard deviation of the logarithm of the error of the callers'
	// estimates of the answer's length.
	HintSigma float64 `yaml:"hint_sigma"`
	// FirstToken and BetweenEvents are the latency targets of the route.
	FirstToken    time.Duration `yaml:"first_token"`
	BetweenEvents time.Duration `yaml:"between_events"`
	// Deadline is the time after which callers give up.
	Deadline time.Duration `yaml:"deadline"`
	// Duration is the time for which requests arrive. Nothing is counted in the first
	// part of it, WarmUp, in which servers may change their stages.
	Duration time.Duration `yaml:"duration"`
	WarmUp   time.Duration `yaml:"warm_up"`
	// Bursts multiply PerSecond for a while.
	Bursts []Burst `yaml:"bursts"`
	// Classes share PerSecond; without any, all requests are alike and have no key.
	Classes []Class `yaml:"classes"`
	// Return makes refused callers return after the advised delay until Deadline.
	Return bool `yaml:"return"`
}

// Class is a part of the callers, with a route and an organisation of its own.
type Class struct {
	Name string `yaml:"name"`
	// Share is the part of the requests, relative to the sum of all shares.
	Share float64 `yaml:"share"`
	// Priority is that of the class's route.
	Priority int `yaml:"priority"`
	// FirstToken replaces that of the load if it is not 0.
	FirstToken time.Duration `yaml:"first_token"`
	// Bursts multiply the requests of the class, in addition to those of the load.
	Bursts []Burst `yaml:"bursts"`
}

// organisation is the name of the organisation of a class.
func (c *Class) organisation() string { return c.Name }

func (l *Load) classFirstToken(c *Class) time.Duration {
	if c != nil && c.FirstToken > 0 {
		return c.FirstToken
	}
	return l.FirstToken
}

// Burst is a time in which Factor times as many requests arrive.
type Burst struct {
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Factor float64       `yaml:"factor"`
}

// rate returns the number of requests a second at a time after the start.
func (l *Load) rate(at time.Duration) float64 {
	rate := l.PerSecond * factor(l.Bursts, at)
	if len(l.Classes) == 0 {
		return rate
	}
	sum, shares := 0.0, 0.0
	for i := range l.Classes {
		sum += l.Classes[i].weight(at)
		shares += l.Classes[i].Share
	}
	return rate * sum / shares
}

// weight returns the share of a class at a time after the start.
func (c *Class) weight(at time.Duration) float64 { return c.Share * factor(c.Bursts, at) }

// factor returns the product of the bursts at a time after the start.
func factor(bursts []Burst, at time.Duration) float64 {
	f := 1.0
	for _, b := range bursts {
		if at >= b.At && at < b.At+b.For {
			f *= b.Factor
		}
	}
	return f
}

// class draws the class of a request that arrives at a time; nil without classes.
func (l *Load) class(rnd *rand.Rand, at time.Duration) *Class {
	if len(l.Classes) == 0 {
		return nil
	}
	sum := 0.0
	for i := range l.Classes {
		sum += l.Classes[i].weight(at)
	}
	left := sum * rnd.Float64()
	for i := range l.Classes {
		if left -= l.Classes[i].weight(at); left < 0 {
			return &l.Classes[i]
		}
	}
	return &l.Classes[len(l.Classes)-1]
}

// Demand returns the mean number of prefill servers and of decode servers that a rate
// of one request a second keeps busy: by the prefill time, and by the memory of a run
// for as long as it runs (Little's law).
func Demand(e *Engine, l *Load) (prefill, decode float64) {
	prefill = (e.PrefillSetup + e.prefillTime(int(l.PromptTokens))).Seconds()
	answer := l.AnswerEvents * float64(e.EventTokens)
	running := min(float64(e.Slots), float64(e.MemoryTokens)/(l.PromptTokens+answer/2))
	step := e.Step.Seconds() + running*e.StepPerSlot.Seconds()
	return prefill, answer * step / running
}

// cutFactor is the largest length as a multiple of the mean.
const cutFactor = 2

// draw returns a length of a log-normal distribution.
func draw(mean, sigma, normal float64) float64 {
	return min(mean*math.Exp(sigma*normal-sigma*sigma/2), cutFactor*mean)
}

// request is one request of a load.
type request struct {
	at             time.Duration // of its arrival
	prompt, events int
	hint           int // the caller's estimate of the answer's length in tokens
	entry          int
	class          *Class // nil without classes
}

// requests draws the requests of a load.
func (o *Options) requests() []request {
	rnd, l := rand.New(rand.NewPCG(o.Seed, 1)), &o.Load
	var out []request
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / l.rate(at) * float64(time.Second))
		if at >= l.Duration {
			return out
		}
		r := request{at: at, entry: rnd.IntN(o.Entries)}
		r.prompt = max(1, int(draw(l.PromptTokens, l.PromptSigma, rnd.NormFloat64())))
		r.events = max(1, int(draw(l.AnswerEvents, l.AnswerSigma, rnd.NormFloat64())))
		r.hint = max(1, int(float64(r.events*o.Engine.EventTokens)*math.Exp(l.HintSigma*rnd.NormFloat64())))
		r.class = l.class(rnd, at)
		out = append(out, r)
	}
}
