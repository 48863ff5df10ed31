package benchmodel

import (
	"slices"
	"time"
)

// windowLengths are the lengths of the windows for which an upper bound is
// computed. The smallest bound is used.
var windowLengths = []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second}

// goodputUpperBound returns the max number of requests that a policy could complete
// within the targets if it knew the whole workload in advance. It solves a relaxed
// problem: work is divisible, the servers of a kind form one server, every shared
// prefix is cached, and only one kind of server is scarce at a time. The requests
// that arrive in a window must be prefilled, and their decodes begun, within the
// window and the first-token target after it.
func goodputUpperBound(f Fleet, s Scenario, requests []*request) int {
	feasible := make([]*request, 0, len(requests))
	for _, r := range requests {
		if r.minFirstToken() <= firstTokenTarget {
			feasible = append(feasible, r)
		}
	}
	best := len(feasible)
	for _, w := range append(windowLengths, f.Duration) {
		sum := 0
		for from := time.Duration(0); from < f.Duration; from += w {
			to := min(from+w, f.Duration)
			sum += windowGoodputBound(f, s, arrivedIn(feasible, from, to), Window{from, to})
		}
		best = min(best, sum)
	}
	return best
}

// minFirstToken returns the min time to the first token, on idle servers with all
// shared prefixes cached.
func (r *request) minFirstToken() time.Duration {
	return r.prefillTime() + time.Duration(piecesOf(r.prompt))*pieceTransferTime + stepBase
}

func (r *request) prefillTime() time.Duration {
	tokens := max(r.prompt-r.hotTokens(), 1)
	return time.Duration(float64(tokens) / prefillRate * float64(time.Millisecond))
}

func arrivedIn(list []*request, from, to time.Duration) []*request {
	var out []*request
	for _, r := range list {
		if r.arrived >= from && r.arrived < to {
			out = append(out, r)
		}
	}
	return out
}

// windowGoodputBound returns the upper bound for the requests that arrive in a
// window.
func windowGoodputBound(f Fleet, s Scenario, list []*request, w Window) int {
	w.To += firstTokenTarget
	prefill := make([]time.Duration, len(list))
	decode := make([]time.Duration, len(list))
	step := stepBase + slotsPerEngine*stepPerSlot
	for i, r := range list {
		prefill[i] = r.prefillTime()
		decode[i] = time.Duration(r.answer) * step
	}
	prefillTime, decodeTime := s.availableServerTime(f, w)
	// Decodes in progress at the end of the window count in full.
	inProgress := f.Decodes * slotsPerEngine
	return min(maxFitting(prefill, prefillTime), maxFitting(decode, decodeTime*slotsPerEngine)+inProgress)
}

// availableServerTime returns the total time that the prefill and the decode
// servers can work in a window. It subtracts what the scenario's fault takes from the
// affected servers, as if the fault were known in advance.
func (s Scenario) availableServerTime(f Fleet, w Window) (prefill, decode time.Duration) {
	span := s.faultWindow(f)
	if s.StallLink {
		// What is prefilled within the target of the end of the stall is still in time.
		span.To = max(span.From, span.To-firstTokenTarget)
	}
	lost := max(0, min(w.To, span.To)-max(w.From, span.From))
	length := w.To - w.From
	prefill, decode = time.Duration(f.Prefills)*length, time.Duration(f.Decodes)*length
	switch {
	case s.CrashPrefill || s.StallLink:
		prefill -= lost
	case s.CrashDecode:
		decode -= lost
	case s.SlowDecode:
		decode -= lost - lost/slowFactor
	case s.LoseDataCentre:
		prefill -= lost * time.Duration(lostServers(f.Prefills, f))
		decode -= lost * time.Duration(lostServers(f.Decodes, f))
	}
	return prefill, decode
}

// lostServers returns the number of servers in the lost data centre.
func lostServers(servers int, f Fleet) int {
	centres := max(f.DataCentres, 3)
	return (servers + centres - 1) / centres
}

// maxFitting returns the max number of durations whose sum is within capacity.
func maxFitting(durations []time.Duration, capacity time.Duration) int {
	slices.Sort(durations)
	for i, x := range durations {
		capacity -= x
		if capacity < 0 {
			return i
		}
	}
	return len(durations)
}
