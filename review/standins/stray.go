package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Load of the case: payments and the dose of the disruption.
const (
	payers       = 12
	payments     = 200 // of each payer
	paymentPause = 200 * time.Millisecond
	// extraEvery is 3 answers in 100, for extraTime at a time.
	extraEvery = 34
	extraTime  = 5 * time.Second
)

// strayRefusal sends payments, which may run once, to a ledger of three servers. One of them sends
// additional bytes after a few of its answers, late.
func strayRefusal(f *fleet, trouble bool) (bool, error) {
	f.configure(1, 16, route{path: "/pule252/", kind: "unsafe", service: ledger, timeout: 800 * time.Millisecond, target: 150 * time.Millisecond, attempts: 1})
	epoch := time.Now().Add(4 * time.Second)
	for i := range 3 {
		o := serverOptions{Addr: fmt.Sprintf("127.0.1.%d:%d", i+1, f.callerPort), ID: fmt.Sprint("ledger-", i+1), Stage: "plain", Slots: 6, Queue: 24, Work: 30 * time.Millisecond}
		if trouble && i == 0 {
			o.ExtraEvery, o.Epoch = extraEvery, epoch.UnixMilli()
			for n := range time.Duration(4) {
				o.Windows = append(o.Windows, window{2 * n * extraTime, (2*n + 1) * extraTime})
			}
		}
		if _, err := f.startServer(o); err != nil {
			return false, err
		}
	}
	if err := f.startEntries("127.0.0.1", "127.0.0.2"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	status := map[string]int{}
	var all sync.WaitGroup
	for p := range payers {
		all.Go(func() {
			k := caller{addr: f.callers(fmt.Sprint("127.0.0.", 1+p%2))}
			defer k.close()
			for range payments {
				c := call{id: newID(), method: http.MethodPost, path: "/pule252/2f", deadline: 1500 * time.Millisecond, body: "amount=1"}
				r := k.send(&c)
				f.note("payer %d sent %s, answer %d %q %v", p, c.id, r.status, r.body, r.err)
				mu.Lock()
				status[c.id] = r.status
				mu.Unlock()
				time.Sleep(paymentPause)
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	twice, denied := 0, 0
	for id, servers := range runs {
		if len(servers) > 1 {
			f.note("TWICE %s ran at %v, answered %d", id, servers, status[id])
			twice++
		}
		if s := status[id]; s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
			f.note("REFUSED %s was answered %d and ran at %v", id, s, servers)
			denied++
		}
	}
	counts := map[int]int{}
	for _, s := range status {
		counts[s]++
	}
	f.note("result: %d payments, answers by status %v, %d ran twice, %d ran and were refused", len(status), counts, twice, denied)
	fmt.Printf("%d payments, answers by status %v, %d ran twice, %d ran and were refused\n", len(status), counts, twice, denied)
	return twice+denied > 0, nil
}
