package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["roll"] = rollCase }

// stop ends a process as the platform does: SIGTERM, and SIGKILL after the grace period.
func (p *process) stop() {
	const grace = 8 * time.Second
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.kill()
	}
}

// rollCase stops and starts all machines of the system in turn. Callers of the entry that comes last
// take their streams up at the other one. There is one version of the servers' software.
func rollCase(f *fleet, trouble bool) (bool, error) {
	const (
		events  = 130
		pace    = 100 * time.Millisecond
		streams = 20
		gap     = time.Second
		limit   = 14 * time.Second // of a caller, from its first try
		former  = 10               // the entry that comes first
		latter  = 11
	)
	f.configure(1)
	results := newHandles()
	seeds := []string{f.at(former, controlPort), f.at(latter, controlPort)}
	settings := entryOptions{bootstrap: true, store: f.storeAddr(), seeds: seeds}
	// starts are the processes in the order in which they are stopped.
	var starts []func(entryOptions) (*process, error)
	for n, stage := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode"} {
		s := &server{
			id: fmt.Sprintf("i-%s-%d", stage, n), service: modelService, stage: stage, software: "v1", addr: f.at(20+n, appPort),
			slots: 16, born: time.Now().UnixMilli(), events: events, pace: pace, handles: results,
		}
		if err := s.serve(); err != nil {
			return false, err
		}
		f.register(s, "ready")
		starts = append(starts, func(o entryOptions) (*process, error) { return f.startAgent("side-"+s.id, 20+n, o) })
	}
	for _, machine := range []int{former, latter} {
		starts = append(starts, func(o entryOptions) (*process, error) {
			return f.startEntry(fmt.Sprintf("front-%d", machine), machine, o)
		})
	}
	processes := make([]*process, len(starts))
	for i, start := range starts {
		p, err := start(settings)
		if err != nil {
			return false, err
		}
		processes[i] = p
	}
	for _, machine := range []int{former, latter} {
		if err := f.awaitReady(machine, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	settings.bootstrap = false
	var all sync.WaitGroup
	if trouble {
		for i, start := range starts {
			all.Go(func() {
				time.Sleep(time.Duration(i) * gap)
				name := processes[i].name
				f.record.line("%s gets SIGTERM", name)
				processes[i].stop()
				if _, err := start(settings); err != nil {
					f.record.line("%s: %v", name, err)
					return
				}
				f.record.line("%s has ended, and starts again", name)
			})
		}
	}
	time.Sleep(time.Duration(len(starts)-2) * gap) // the last agent got SIGTERM a second ago
	first, again, fresh := make([]reply, streams), make([]reply, streams), make([]reply, streams)
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
			first[i] = send(latter, id, "", 0, limit)
			ids, _ := eventsOf(first[i].body)
			if first[i].whole || len(ids) == 0 {
				return
			}
			again[i] = send(former, "again-"+id, id, ids[len(ids)-1], limit-time.Since(began))
			fresh[i] = send(former, "new-"+id, "", 0, limit)
		})
		time.Sleep(50 * time.Millisecond)
	}
	all.Wait()
	taken, wentOn, began := 0, 0, 0
	for i := range streams {
		ids, _ := eventsOf(first[i].body)
		if len(ids) == 0 || first[i].whole {
			f.record.line("s%02d: %d events, complete %t, status %d", i, len(ids), first[i].whole, first[i].status)
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
