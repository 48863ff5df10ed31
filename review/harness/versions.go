package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

func init() { cases["versions"] = versionsCase }

// versionsCase has an entry cut off from the store and from the other entry while half of the
// servers are replaced by servers of a second version. The other entry is killed, and its callers take their streams up at
// the one that is cut off.
func versionsCase(f *fleet, trouble bool) (bool, error) {
	const (
		cutOff, other           = 10, 11 // entries
		cutOffAlias, otherAlias = 12, 13
		storeAlias              = 3
		events, streams         = 80, 40
	)
	f.configure(1)
	storePath, err := newTCPProxy(f.at(storeAlias, storePort), f.storeAddr())
	if err != nil {
		return false, err
	}
	entryPath, err := newDatagramProxy(f.at(cutOff, firstPort), f.at(other, firstPort), f.at(cutOffAlias, firstPort), f.at(otherAlias, firstPort))
	if err != nil {
		return false, err
	}
	results := newHandles()
	newServer := func(n int, stage, software string) (*server, error) {
		s := &server{
			id: fmt.Sprintf("i-%s-%s-%d", software, stage, n), service: modelService, stage: stage, software: software, addr: f.at(20+n, appPort),
			slots: 16, born: time.Now().UnixMilli(), events: events, pace: 100 * time.Millisecond, handles: results,
		}
		if err := s.serve(); err != nil {
			return nil, err
		}
		if _, err := f.startAgent("side-"+s.id, 20+n, entryOptions{bootstrap: true, store: f.storeAddr(), seeds: []string{f.at(other, controlPort)}}); err != nil {
			return nil, err
		}
		f.register(s, "ready")
		return s, nil
	}
	var old []*server
	for n, stage := range []string{"prefill", "prefill", "prefill", "decode", "decode", "decode", "decode", "decode"} {
		s, err := newServer(n, stage, "v1")
		if err != nil {
			return false, err
		}
		old = append(old, s)
	}
	if _, err := f.startEntry("front-cut", cutOff, entryOptions{bootstrap: true, store: f.at(storeAlias, storePort), seeds: []string{f.at(cutOff, controlPort), f.at(otherAlias, controlPort)}}); err != nil {
		return false, err
	}
	b, err := f.startEntry("front-other", other, entryOptions{bootstrap: true, store: f.storeAddr(), seeds: []string{f.at(cutOffAlias, controlPort), f.at(other, controlPort)}})
	if err != nil {
		return false, err
	}
	for _, machine := range []int{cutOff, other} {
		if err := f.awaitReady(machine, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // longer than stable_window_ms
	cutAt := time.Now()
	if trouble {
		f.record.line("front-cut is partitioned from the store and from front-other")
		storePath.cut.Store(true)
		entryPath.cut.Store(true)
	}
	time.Sleep(500 * time.Millisecond)
	// Half of the servers are replaced, one at a time, a second apart.
	for n, former := range []*server{old[2], old[3], old[4], old[5]} {
		if n > 0 {
			time.Sleep(time.Second)
		}
		s, err := newServer(10+n, former.stage, "v2")
		if err != nil {
			return false, err
		}
		f.register(former, "draining")
		f.record.line("%s has started, and %s drains", s.id, former.id)
	}
	time.Sleep(500 * time.Millisecond)
	first, again := make([]reply, streams), make([]reply, streams)
	var all sync.WaitGroup
	send := func(machine int, c standin.CallerRequest, body string) reply {
		ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
		defer cancel()
		return call(ctx, f.at(machine, frontPort), resumePath+"x", body, c)
	}
	for i := range streams {
		all.Go(func() {
			id := fmt.Sprintf("s%02d", i)
			first[i] = send(other, modelRequest(id), "prompt "+id)
			ids, _ := eventsOf(first[i].body)
			if first[i].whole || len(ids) == 0 {
				return
			}
			c := modelRequest("again-" + id)
			c.Parts = modelRequest(id).Parts
			c.Resumes, c.LastEvent = id, ids[len(ids)-1]
			again[i] = send(cutOff, c, "prompt "+id)
		})
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	f.record.line("front-other is killed")
	b.kill()
	time.Sleep(500 * time.Millisecond)
	if _, err := f.startEntry("front-other", other, entryOptions{store: f.storeAddr(), seeds: []string{f.at(cutOffAlias, controlPort), f.at(other, controlPort)}}); err != nil {
		return false, err
	}
	f.record.line("front-other starts again")
	time.Sleep(max(0, 10*time.Second-time.Since(cutAt)))
	storePath.cut.Store(false)
	entryPath.cut.Store(false)
	f.record.line("the partition is over, %.1f s after it began", time.Since(cutAt).Seconds())
	all.Wait()
	mixed, second, taken := 0, 0, 0
	for i := range streams {
		ids, began := eventsOf(first[i].body)
		more, went := eventsOf(again[i].body)
		versions := slices.Compact(slices.Sorted(slices.Values(slices.Concat(began, went))))
		if slices.Contains(began, "v2") {
			second++
		}
		if len(more) > 0 {
			taken++
		}
		if len(versions) > 1 {
			mixed++
		}
		f.record.line("s%02d: %d events (status %d, error %v), then %d (status %d, error %v): versions %s", i, len(ids), first[i].status, first[i].err, len(more), again[i].status, again[i].err, strings.Join(versions, "+"))
	}
	f.record.line("%d of %d streams began at v2; %d went on at front-cut; %d hold events of two versions", second, streams, taken, mixed)
	return mixed > 2, nil
}
