package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["holder"] = func(f *fleet, trouble bool) (bool, error) {
		return releaseCase(f, release{prefills: 4, decodes: 3, streams: 36, atATime: 2, kill: trouble, replace: true})
	}
	cases["minimum"] = func(f *fleet, trouble bool) (bool, error) {
		return releaseCase(f, release{prefills: 2, decodes: 2, streams: 24, atATime: 1, replace: trouble})
	}
}

// switchTime is switch_s of sites/nbct-router.toml.
const switchTime = 6 * time.Second

// order carries out an order to change the stage, and reports whether a request was one.
func (s *server) order(f *fleet, w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path != "/order" {
		return false
	}
	var o struct {
		Op, Stage string
		Holder    string
		Fence     int64 `json:"fencing_token"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &o) != nil || o.Op != "stage" {
		w.WriteHeader(http.StatusBadRequest)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case o.Stage == s.stage:
	case s.switching:
		w.WriteHeader(http.StatusConflict)
	default:
		f.record.line("%s is ordered from %s to %s by %s", s.id, s.stage, o.Stage, o.Holder)
		s.switching = true
		time.AfterFunc(switchTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.stage, s.switching = o.Stage, false
			f.register(s, "ready")
			f.record.line("%s is a %s server", s.id, s.stage)
		})
		w.WriteHeader(http.StatusAccepted)
	}
	return true
}

// release is the replacement of decode servers of version v1 by as many of v2, while the prefill
// servers of v1 stay.
type release struct {
	prefills, decodes int // of v1
	streams           int
	atATime           int // servers that are replaced together; the next follow a second later
	// kill is set if the entry that gives orders to servers is killed before. Without replace the
	// servers of v1 stay beside those of v2.
	kill, replace bool
}

// releaseCase plays a release and has callers take up the streams that break off with it.
func releaseCase(f *fleet, r release) (bool, error) {
	const (
		events   = 130
		pace     = 100 * time.Millisecond
		longest  = 9 * time.Second // from draining until the servers exit
		interval = 60 * time.Millisecond
		limit    = 14 * time.Second // of a caller, from its first try
		gap      = time.Second
	)
	f.switchSeconds = switchTime.Seconds()
	f.configure(1)
	results := newHandles()
	seeds := []string{f.at(10, controlPort), f.at(11, controlPort)}
	start := func(n int, stage, software string) (*server, error) {
		s := &server{
			id: fmt.Sprintf("i-%s-%s-%d", software, stage, n), service: modelService, stage: stage, software: software, addr: f.at(20+n, appPort),
			slots: 16, born: time.Now().UnixMilli(), events: events, pace: pace, handles: results, fleet: f,
		}
		if err := s.serve(); err != nil {
			return nil, err
		}
		if _, err := f.startAgent("side-"+s.id, 20+n, entryOptions{bootstrap: true, store: f.storeAddr(), seeds: seeds}); err != nil {
			return nil, err
		}
		f.register(s, "ready")
		return s, nil
	}
	var old []*server // decode servers of v1
	for n := range r.prefills + r.decodes {
		stage := "prefill"
		if n >= r.prefills {
			stage = "decode"
		}
		s, err := start(n, stage, "v1")
		if err != nil {
			return false, err
		}
		if stage == "decode" {
			old = append(old, s)
		}
	}
	entries := make([]*process, 2)
	for i := range entries {
		p, err := f.startEntry(fmt.Sprintf("front-%d", i+1), 10+i, entryOptions{bootstrap: true, store: f.storeAddr(), seeds: seeds})
		if err != nil {
			return false, err
		}
		entries[i] = p
	}
	for i := range entries {
		if err := f.awaitReady(10+i, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if r.kill {
		f.record.line("front-1 is killed, and starts again")
		entries[0].kill()
		time.Sleep(500 * time.Millisecond)
		if _, err := f.startEntry("front-1", 10, entryOptions{store: f.storeAddr(), seeds: seeds}); err != nil {
			return false, err
		}
		if err := f.awaitReady(10, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // longer than stable_window_ms
	first, again, fresh := make([]reply, r.streams), make([]reply, r.streams), make([]reply, r.streams)
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
	for i := range r.streams {
		all.Go(func() {
			id, began := fmt.Sprintf("s%02d", i), time.Now()
			first[i] = send(10+i%2, id, "", 0, limit)
			ids, _ := eventsOf(first[i].body)
			if first[i].whole || len(ids) == 0 {
				return
			}
			again[i] = send(10+(i+1)%2, "again-"+id, id, ids[len(ids)-1], limit-time.Since(began))
			fresh[i] = send(10+(i+1)%2, "new-"+id, "", 0, limit)
		})
		time.Sleep(interval)
	}
	if r.replace {
		var left sync.WaitGroup
		for i := 0; i < len(old); i += r.atATime {
			if i > 0 {
				time.Sleep(gap)
			}
			former := old[i:min(i+r.atATime, len(old))]
			for k, s := range former {
				next, err := start(10+i+k, "decode", "v2")
				if err != nil {
					return false, err
				}
				f.record.line("%s has started in place of %s", next.id, s.id)
			}
			time.Sleep(300 * time.Millisecond)
			for _, s := range former {
				f.register(s, "draining")
				f.record.line("%s drains", s.id)
				left.Go(func() {
					time.Sleep(longest)
					_ = s.http.Close()
					f.store.Put("servers/"+s.id, nil)
				})
			}
		}
		left.Wait()
		f.record.line("the decode servers of v1 have left")
	}
	all.Wait()
	taken, wentOn, asked, began := 0, 0, 0, 0
	for i := range r.streams {
		ids, versions := eventsOf(first[i].body)
		if len(ids) == 0 || first[i].whole {
			f.record.line("s%02d: %d events, complete %t", i, len(ids), first[i].whole)
			continue
		}
		more, went := eventsOf(again[i].body)
		others, _ := eventsOf(fresh[i].body)
		taken++
		asked++
		if len(more) > 0 {
			wentOn++
		}
		if len(others) > 0 {
			began++
		}
		f.record.line("s%02d: %d events of %v, taken up: status %d, %d events of %v; a new stream: status %d, %d events", i, len(ids), versions[0], again[i].status, len(more), went[:min(1, len(went))], fresh[i].status, len(others))
	}
	f.record.line("%d of %d streams that were taken up went on; %d of %d new ones began; %d prefill servers of v1 served all the while", wentOn, taken, began, asked, r.prefills)
	if taken < 12 {
		return false, nil // the rule asks for 12
	}
	return float64(wentOn)/float64(taken) < 0.5*float64(began)/float64(asked), nil
}
