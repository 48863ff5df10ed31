package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samphirestream/samphirestream/platform/standin"
)

func init() { cases["leave"] = leaveCase }

// leavingCall sends a request on a connection of its own. If leave is not 0, the caller ends its
// sending direction after that time, as a client does that closes in an orderly way, and reads
// what still comes until the entry has closed too.
func leavingCall(addr, path, body string, c standin.CallerRequest, leave time.Duration) reply {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	h := http.Header{}
	c.Write(h)
	if c.PromptTokens > 0 {
		h.Set("Model", "m")
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", path, host, len(body))
	_ = h.Write(conn)
	if _, err := io.WriteString(conn, "\r\n"+body); err != nil {
		return reply{err: err}
	}
	if leave > 0 {
		timer := time.AfterFunc(leave, func() { _ = conn.(*net.TCPConn).CloseWrite() })
		defer timer.Stop()
	}
	_ = conn.SetReadDeadline(time.Now().Add(c.Deadline))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(text), whole: err == nil, err: err}
}

// leaveCase has three in ten callers leave within half their objective.
func leaveCase(f *fleet, trouble bool) (bool, error) {
	const (
		requests, share = 200, 0.3
		leaveUnsafe     = 75 * time.Millisecond // half of the objective of 150 ms
		leaveStream     = 450 * time.Millisecond
		events          = 40
	)
	f.configure(1)
	results := newHandles()
	var mu sync.Mutex
	ran := map[string]bool{}
	for n, s := range []*server{
		{id: "i-ledger-0", service: plainService, slots: 6, work: 100 * time.Millisecond},
		{id: "i-ledger-1", service: plainService, slots: 6, work: 100 * time.Millisecond},
		{id: "i-ledger-2", service: plainService, slots: 6, work: 100 * time.Millisecond},
		{id: "i-prefill", service: modelService, stage: "prefill", slots: 16},
		{id: "i-decode", service: modelService, stage: "decode", slots: 16, events: events, pace: 20 * time.Millisecond},
	} {
		s.addr, s.software, s.born, s.handles = f.at(20+n, appPort), "1", 1, results
		s.ran = func(_ *server, in standin.ServerRequest) {
			mu.Lock()
			defer mu.Unlock()
			ran[in.ID] = true
		}
		if err := s.serve(); err != nil {
			return false, err
		}
		f.register(s, "ready")
	}
	if _, err := f.startEntry("front-1", 10, entryOptions{bootstrap: true, store: f.storeAddr(), seeds: []string{f.at(10, controlPort)}}); err != nil {
		return false, err
	}
	if err := f.awaitReady(10, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(500 * time.Millisecond)
	type result struct {
		id    string
		leave time.Duration
		reply reply
	}
	unsafe, streams := make([]result, requests), make([]result, requests/4)
	var all sync.WaitGroup
	for i := range requests {
		leaves := trouble && i%10 < int(10*share)
		all.Go(func() {
			r := result{id: fmt.Sprintf("p%03d", i)}
			if leaves {
				r.leave = leaveUnsafe
			}
			r.reply = leavingCall(f.at(10, frontPort), unsafePath+"x", "pay "+r.id, standin.CallerRequest{ID: r.id, Deadline: 1500 * time.Millisecond}, r.leave)
			unsafe[i] = r
		})
		if i%4 == 0 {
			all.Go(func() {
				r := result{id: fmt.Sprintf("s%03d", i)}
				if leaves {
					r.leave = leaveStream
				}
				r.reply = leavingCall(f.at(10, frontPort), streamPath+"x", "prompt "+r.id, modelRequest(r.id), r.leave)
				streams[i/4] = r
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	unproven, notBegun, short := 0, 0, 0
	for _, r := range unsafe {
		began := ran[r.id]
		f.record.line("%s: leaves after %v; status %d, proof %q, body %q, complete %t, error %v; a server began it: %t", r.id, r.leave, r.reply.status, r.reply.header.Get("Response-Seal"), r.reply.body, r.reply.whole, r.reply.err, began)
		if r.reply.status/100 == 2 && !standin.Proves(r.reply.header, r.id) {
			unproven++
			if !began {
				notBegun++
			}
		}
	}
	for _, r := range streams {
		ids, _ := eventsOf(r.reply.body)
		f.record.line("%s: leaves after %v; status %d, proof %q, %d of %d events, complete %t, error %v", r.id, r.leave, r.reply.status, r.reply.header.Get("Response-Seal"), len(ids), events, r.reply.whole, r.reply.err)
		if r.reply.status/100 == 2 && r.reply.whole && len(ids) < events {
			short++
		}
	}
	f.record.line("%d unsafe requests were answered with a success without proof, %d of which no server had begun; %d streams ended early as complete", unproven, notBegun, short)
	return unproven+short > 0, nil
}

// sleepOrGone waits, and reports false if the connection of a request closed before.
func sleepOrGone(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
