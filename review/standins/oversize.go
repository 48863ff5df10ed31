package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tally counts the requests of one kind.
type tally struct {
	mu            sync.Mutex
	asked, served int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if served {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.asked)) }

// oversizePrompts sends summaries and payments, and a few prompts that no server has the memory
// for.
func oversizePrompts(f *fleet, trouble bool) (bool, error) {
	const (
		decodes, prefills, ledgers = 9, 5, 3
		prompt, answer             = 5000, 70
		oversize                   = 200_000
		warmup, length             = 10 * time.Second, 50 * time.Second
		// perEntry is the number of callers of each entry that send such prompts.
		perEntry = 3
		// minShare is the share of the requests served, relative to that of all kinds.
		minShare = 0.25
	)
	f.configure(1, 16,
		route{path: "/lohu930/", kind: "streaming", service: model, timeout: 14 * time.Second, target: 900 * time.Millisecond, attempts: 1},
		route{path: "/pule252/", kind: "unsafe", service: ledger, timeout: 800 * time.Millisecond, target: 150 * time.Millisecond, attempts: 1})
	for i := range decodes + prefills + ledgers {
		ip := fmt.Sprintf("127.0.1.%d", i+1)
		o := serverOptions{Addr: fmt.Sprintf("%s:%d", ip, f.callerPort), ID: fmt.Sprint("model-", i+1), Stage: "decode", Slots: 16, Queue: 2, Gap: time.Millisecond, PrefillRate: 55_555}
		switch {
		case i >= decodes+prefills:
			o.Stage, o.ID, o.Slots, o.Queue, o.Work = "plain", fmt.Sprint("ledger-", i+1), 6, 24, 30*time.Millisecond
		case i >= decodes:
			o.Stage = "prefill"
		}
		if _, err := f.startServer(o); err != nil {
			return false, err
		}
		if o.Stage == "plain" {
			continue
		}
		if _, err := f.startNode("agent-"+o.ID, ip, nil, "-agent"); err != nil {
			return false, err
		}
	}
	entries := []string{"127.0.0.1", "127.0.0.2"}
	if err := f.startEntries(entries...); err != nil {
		return false, err
	}
	var summaries, payments, large tally
	var all sync.WaitGroup
	begin := time.Now().Add(warmup)
	end := begin.Add(length)
	ask := func(name, entry string, of *tally, pause time.Duration, next func() call) {
		all.Go(func() {
			k := caller{addr: f.callers(entry)}
			defer k.close()
			for time.Now().Before(end) {
				c := next()
				sent := time.Now()
				r := k.send(&c)
				served := r.status == http.StatusOK && r.complete
				f.note("%s sent %s to %s, prompt %d, answer %d after %d ms, served: %t, %v", name, c.id, entry, c.prompt, r.status, time.Since(sent).Milliseconds(), served, r.err)
				if sent.After(begin) {
					of.add(served)
				}
				time.Sleep(max(pause, r.retryAfter))
			}
		})
	}
	summary := func(tokens int) func() call {
		return func() call {
			return call{id: newID(), method: http.MethodPost, path: "/lohu930/2f", deadline: 14 * time.Second, prompt: tokens, answer: answer, body: "prompt"}
		}
	}
	for i := range 26 {
		ask("summary", entries[i%2], &summaries, 2*time.Second, summary(prompt))
		ask("payment", entries[i%2], &payments, 500*time.Millisecond, func() call {
			return call{id: newID(), method: http.MethodPost, path: "/pule252/2f", deadline: 1500 * time.Millisecond, body: "amount=1"}
		})
		time.Sleep(20 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Until(begin))
		for i := range 2 * perEntry {
			ask("large", entries[i%2], &large, time.Second, summary(oversize))
			time.Sleep(time.Second)
		}
	}
	all.Wait()
	both := float64(summaries.served+payments.served) / float64(max(1, summaries.asked+payments.asked))
	result := fmt.Sprintf("served: %d of %d summaries, %d of %d payments; %d prompts larger than a server's memory", summaries.served, summaries.asked, payments.served, payments.asked, large.asked)
	f.note("result: %s", result)
	fmt.Println(result)
	return summaries.share() < minShare*both, nil
}
