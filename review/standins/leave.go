package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// leavingPayers sends payments to a ledger of three servers. Some payers leave before their time
// limit: they close their side of the connection and read what still comes.
func leavingPayers(f *fleet, trouble bool) (bool, error) {
	const (
		// leaveEvery is 1 payer in 5, and leaveWithin half the objective, within which they leave,
		// for leaveTime at a time.
		leaveEvery  = 5
		leaveWithin = 75 * time.Millisecond
		leaveTime   = 5 * time.Second
		leavers     = 15
	)
	f.configure(1, 16, route{path: "/pule252/", kind: "unsafe", service: ledger, timeout: 800 * time.Millisecond, target: 2 * leaveWithin, attempts: 1})
	for i := range 3 {
		o := serverOptions{Addr: fmt.Sprintf("127.0.1.%d:%d", i+1, f.callerPort), ID: fmt.Sprint("ledger-", i+1), Stage: "plain", Slots: 6, Queue: 24, Work: 30 * time.Millisecond}
		if _, err := f.startServer(o); err != nil {
			return false, err
		}
	}
	if err := f.startEntries("127.0.0.1", "127.0.0.2"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	unproven := map[string]bool{}
	left := 0
	begin, leaving := time.Now(), spaced(4, leaveTime)
	answers := map[string]int{}
	var all sync.WaitGroup
	for p := range leavers {
		all.Go(func() {
			addr := f.callers(fmt.Sprint("127.0.0.", 1+p%2))
			k := caller{addr: addr}
			defer k.close()
			for n := range payments / 2 {
				c := call{id: newID(), method: http.MethodPost, path: "/pule252/2f", deadline: 1500 * time.Millisecond, body: "amount=1"}
				var r result
				leaves := trouble && p%leaveEvery == 0 && leaving.hold(begin)
				if after := leaveWithin * time.Duration(n%10) / 10; leaves {
					r = leave(addr, &c, after)
				} else {
					r = k.send(&c)
				}
				f.note("payer %d sent %s, left: %t, answer %d, proof: %t, %q %v", p, c.id, leaves, r.status, r.proven, r.body, r.err)
				mu.Lock()
				if leaves {
					left++
				}
				answers[fmt.Sprintf("%d, proof %t", r.status, r.proven)]++
				if r.status/100 == 2 && !r.proven {
					unproven[c.id] = true
				}
				mu.Unlock()
				time.Sleep(2 * paymentPause)
			}
		})
	}
	all.Wait()
	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	lost := 0
	for id := range unproven {
		f.note("MIXED %s was answered as a success without the proof, and ran at %v", id, runs[id])
		if len(runs[id]) == 0 {
			lost++
		}
	}
	result := fmt.Sprintf("answers: %v; %d payers left; %d successes without the proof, of which %d payments never ran", answers, left, len(unproven), lost)
	f.note("result: %s", result)
	fmt.Println(result)
	return len(unproven) > 0, nil
}
