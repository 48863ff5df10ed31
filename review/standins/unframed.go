package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"sync"
	"time"
)

// unframedStream streams answers of some seconds while two servers are taken away.
func unframedStream(f *fleet, trouble bool) (bool, error) {
	const (
		events   = 40
		gap      = 200 * time.Millisecond
		decodes  = 6
		prefills = 3
		slots    = 128
		callers  = 200
	)
	f.configure(1, slots, route{path: "/lohu930/", kind: "streaming", service: model, timeout: 14 * time.Second, target: 900 * time.Millisecond, attempts: 1})
	var victims [2]*exec.Cmd
	epoch := time.Now().Add(6 * time.Second)
	for i := range decodes + prefills {
		o := serverOptions{Addr: fmt.Sprintf("127.0.1.%d:%d", i+1, f.callerPort), ID: fmt.Sprint("model-", i+1), Stage: "decode", Slots: slots, Queue: 2, Work: 20 * time.Millisecond, Gap: gap}
		switch {
		case i >= decodes:
			o.Stage = "prefill"
		case i < 4:
			o.UnframedEvery, o.Epoch, o.Windows = 20, epoch.UnixMilli(), windows{{7 * time.Second, 12 * time.Second}, {21 * time.Second, 26 * time.Second}}
		}
		p, err := f.startServer(o)
		if err != nil {
			return false, err
		}
		if i < 2 {
			victims[i] = p
		}
		if _, err := f.startNode("agent-"+o.ID, fmt.Sprintf("127.0.1.%d", i+1), nil, "-agent"); err != nil {
			return false, err
		}
	}
	if err := f.startEntries("127.0.0.1", "127.0.0.2"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	counts := map[string]int{}
	truncated := 0
	var all sync.WaitGroup
	end := epoch.Add(34 * time.Second)
	for p := range callers {
		all.Go(func() {
			k := caller{addr: f.callers(fmt.Sprint("127.0.0.", 1+p%2))}
			defer k.close()
			time.Sleep(time.Duration(p) * 40 * time.Millisecond)
			for time.Now().Before(end) {
				c := call{id: newID(), method: http.MethodPost, path: "/lohu930/2f", deadline: 14 * time.Second, prompt: 1000, answer: events, body: "prompt"}
				r := k.send(&c)
				last, n := lastEvent(r.body)
				f.note("caller %d sent %s, answer %d with %d events, last %d of %d, complete: %t, %v", p, c.id, r.status, n, last, events, r.complete, r.err)
				mu.Lock()
				switch {
				case r.status != http.StatusOK:
					counts[fmt.Sprint(r.status)]++
				case !r.complete:
					counts["broken off"]++
				case n < events || last < events:
					counts["truncated"]++
					truncated++
					f.note("ORDER %s ended as complete after event %d of %d", c.id, last, events)
				default:
					counts["complete"]++
				}
				mu.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for i, notice := range []time.Duration{12 * time.Second, 26 * time.Second} {
		if !trouble {
			break
		}
		id := fmt.Sprint("model-", i+1)
		time.Sleep(time.Until(epoch.Add(notice)))
		f.register(id, "draining")
		time.Sleep(drainTime)
		f.note("end of %s", id)
		f.kill(victims[i])
		f.remove(id)
	}
	all.Wait()
	f.note("result: %v", counts)
	fmt.Println(counts)
	return truncated > 0, nil
}
