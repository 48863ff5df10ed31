package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

func init() { cases["unframed"] = unframedCase }

// runServer serves one server as a process of its own, which a case may kill.
func runServer(args []string) int {
	fs := flag.NewFlagSet("server", flag.ContinueOnError)
	s := &server{service: modelService, slots: 16, unframed: true}
	fs.StringVar(&s.id, "id", "", "")
	fs.StringVar(&s.addr, "addr", "", "")
	fs.StringVar(&s.stage, "stage", "decode", "")
	fs.IntVar(&s.events, "events", 70, "")
	fs.DurationVar(&s.pace, "pace", 100*time.Millisecond, "")
	if fs.Parse(args) != nil {
		return exitNotRun
	}
	if err := s.serve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	select {}
}

// unframedCase has a decode server taken away two seconds after its notice, while its answers
// have neither a length nor chunks.
func unframedCase(f *fleet, trouble bool) (bool, error) {
	const events, streams = 70, 12
	f.configure(1)
	o := entryOptions{bootstrap: true, store: f.storeAddr(), seeds: []string{f.at(10, controlPort)}}
	pre := &server{id: "i-pre", service: modelService, stage: "prefill", software: "1", addr: f.at(21, appPort), slots: 16, born: 1}
	if err := pre.serve(); err != nil {
		return false, err
	}
	f.register(pre, "ready")
	decodes := make([]*server, 2)
	processes := make([]*process, 2)
	for i := range decodes {
		d := &server{id: fmt.Sprintf("i-dec%d", i), service: modelService, stage: "decode", software: "1", addr: f.at(22+i, appPort), slots: 16, born: 1}
		decodes[i] = d
		p, err := f.run(d.id, nil, os.Args[0], "server", "-id", d.id, "-addr", d.addr, "-events", fmt.Sprint(events))
		if err != nil {
			return false, err
		}
		processes[i] = p
		f.register(d, "ready")
	}
	if _, err := f.startEntry("front-1", 10, o); err != nil {
		return false, err
	}
	if err := f.awaitReady(10, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	replies := make([]reply, streams)
	var all sync.WaitGroup
	for i := range streams {
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
			defer cancel()
			id := fmt.Sprintf("s%02d", i)
			replies[i] = call(ctx, f.at(10, frontPort), streamPath+"x", "prompt "+id, modelRequest(id))
		})
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	f.record.line("%s says that it drains", decodes[0].id)
	f.register(decodes[0], "draining")
	if trouble {
		time.Sleep(2 * time.Second)
		f.record.line("%s is taken away", decodes[0].id)
		processes[0].kill()
		f.store.Put("servers/"+decodes[0].id, nil)
	}
	all.Wait()
	cut := 0
	for i, r := range replies {
		ids, _ := eventsOf(r.body)
		f.record.line("s%02d: status %d, %d of %d events, complete %t, error %v", i, r.status, len(ids), events, r.whole, r.err)
		if r.status == 200 && r.whole && len(ids) < events {
			cut++
		}
	}
	f.record.line("%d streams ended as complete before their last event", cut)
	return cut > 0, nil
}
