package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["killall"] = killAllCase }

// killAllCase kills all processes of the system at once. Their callers take their streams up when
// the entries have been back for a while. There is one version of the servers' software.
func killAllCase(f *fleet, trouble bool) (bool, error) {
	const (
		events  = 130
		pace    = 100 * time.Millisecond
		streams = 40
		down    = 500 * time.Millisecond
		// inTouch is longer than stable_window_ms.
		inTouch = 3500 * time.Millisecond
		limit   = 14 * time.Second // of a caller, from its first try
	)
	f.configure(1)
	results := newHandles()
	seeds := []string{f.at(10, controlPort), f.at(11, controlPort)}
	settings := entryOptions{bootstrap: true, store: f.storeAddr(), seeds: seeds}
	var servers []*server
	for n, stage := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode"} {
		s := &server{
			id: fmt.Sprintf("i-%s-%d", stage, n), service: modelService, stage: stage, software: "v1", addr: f.at(20+n, appPort),
			slots: 16, born: time.Now().UnixMilli(), events: events, pace: pace, handles: results,
		}
		if err := s.serve(); err != nil {
			return false, err
		}
		f.register(s, "ready")
		servers = append(servers, s)
	}
	startAll := func(o entryOptions) (all []*process, err error) {
		for n, s := range servers {
			p, err := f.startAgent("side-"+s.id, 20+n, o)
			if err != nil {
				return nil, err
			}
			all = append(all, p)
		}
		for i := range 2 {
			p, err := f.startEntry(fmt.Sprintf("front-%d", i+1), 10+i, o)
			if err != nil {
				return nil, err
			}
			all = append(all, p)
		}
		for i := range 2 {
			if err := f.awaitReady(10+i, 10*time.Second); err != nil {
				return nil, err
			}
		}
		return all, nil
	}
	processes, err := startAll(settings)
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	first, again, fresh := make([]reply, streams), make([]reply, streams), make([]reply, streams)
	back := make(chan struct{}) // closed when the entries are in touch again
	var all sync.WaitGroup
	send := func(machine int, id, resumes string, last int, left time.Duration) reply {
		ctx, cancel := context.WithTimeout(context.Background(), left)
		defer cancel()
		c := modelRequest(id)
		c.Deadline = left
		if resumes != "" {
			c.Parts, c.Resumes, c.LastEvent = modelRequest(resumes).Parts, resumes, last
		}
		return call(ctx, f.at(machine, frontPort), resumePath+"x", "prompt "+c.Parts[1], c)
	}
	for i := range streams {
		all.Go(func() {
			id, began := fmt.Sprintf("s%02d", i), time.Now()
			first[i] = send(10+i%2, id, "", 0, limit)
			ids, _ := eventsOf(first[i].body)
			if first[i].whole || len(ids) == 0 {
				return
			}
			<-back
			again[i] = send(10+(i+1)%2, "again-"+id, id, ids[len(ids)-1], limit-time.Since(began))
			fresh[i] = send(10+(i+1)%2, "new-"+id, "", 0, limit)
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		f.record.line("all %d processes of the system are killed", len(processes))
		for _, p := range processes {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range processes {
			<-p.exited
		}
		time.Sleep(down)
		settings.bootstrap = false
		if _, err := startAll(settings); err != nil {
			return false, err
		}
		f.record.line("all run again, and the entries are ready")
		time.Sleep(inTouch)
	}
	close(back)
	all.Wait()
	taken, wentOn, began := 0, 0, 0
	for i := range streams {
		ids, _ := eventsOf(first[i].body)
		if len(ids) == 0 || first[i].whole {
			f.record.line("s%02d: %d events, complete %t", i, len(ids), first[i].whole)
			continue
		}
		more, _ := eventsOf(again[i].body)
		others, _ := eventsOf(fresh[i].body)
		taken++
		if len(more) > 0 {
			wentOn++
		}
		if len(others) > 0 {
			began++
		}
		f.record.line("s%02d: %d events, taken up: status %d, %d events; a new stream: status %d, %d events", i, len(ids), again[i].status, len(more), fresh[i].status, len(others))
	}
	f.record.line("%d of %d streams that were taken up went on; %d of %d new ones began; four decode servers of the version served all the while", wentOn, taken, began, taken)
	if taken < 12 {
		return false, nil // the rule asks for 12
	}
	return float64(wentOn) < 0.5*float64(began), nil
}
