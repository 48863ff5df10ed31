package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Load of payments: about 50 a second.
const (
	payers       = 12
	payments     = 200 // of each payer
	paymentPause = 200 * time.Millisecond
	// startDelay is the time until the load begins.
	startDelay = 4 * time.Second
)

// spaced returns n windows with pauses of the same length between them.
func spaced(n int, length time.Duration) (out windows) {
	for i := range time.Duration(n) {
		out = append(out, window{2 * i * length, (2*i + 1) * length})
	}
	return out
}

// pay sends payments, which may run once, to ledger servers that disturb may make faulty. It reports
// whether one of them ran twice, or ran and was answered as one that did not.
func (f *fleet) pay(servers int, disturb func(i int, o *serverOptions)) (bool, error) {
	f.configure(1, 16, route{path: "/pule252/", kind: "unsafe", service: ledger, timeout: 800 * time.Millisecond, target: 150 * time.Millisecond, attempts: 1})
	epoch := time.Now().Add(startDelay)
	for i := range servers {
		o := serverOptions{
			Addr: fmt.Sprintf("127.0.1.%d:%d", i+1, f.callerPort), ID: fmt.Sprint("ledger-", i+1), Stage: "plain", Slots: 6, Queue: 24,
			Work: 30 * time.Millisecond, Epoch: epoch.UnixMilli(),
		}
		disturb(i, &o)
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
	return f.judgePayments(status)
}

// judgePayments compares the answers with the runs.
func (f *fleet) judgePayments(status map[string]int) (bool, error) {
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
	result := fmt.Sprintf("%d payments, answers by status %v, %d ran twice, %d ran and were refused", len(status), counts, twice, denied)
	f.note("result: %s", result)
	fmt.Println(result)
	return twice+denied > 0, nil
}
