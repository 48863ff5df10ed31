package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// serverOptions describe one backend server.
type serverOptions struct {
	Addr, ID string
	// Stage is "plain", "prefill" or "decode".
	Stage string
	// Slots is the number of requests that run at once, and Queue that of those that wait.
	Slots, Queue int
	// Work is the time of a plain request, and of a prefill beside that of its tokens.
	Work time.Duration
	// PrefillRate is in tokens a second; 0 for no time.
	PrefillRate float64
	// Gap is the time between two events of a stream.
	Gap time.Duration
	// UnframedEvery, if not 0, is the number of streams of which one is answered without a length
	// or chunks.
	UnframedEvery int
	// ExtraEvery, if not 0, is the number of answers of which one is followed by additional bytes,
	// late: where the next answer on the connection is expected.
	ExtraEvery int
	// FailEvery, if not 0, is the number of plain requests of which one fails after it has run.
	FailEvery int
	// Windows are the times in which these hold, from Epoch on.
	Windows windows
	Epoch   int64 // Unix milliseconds
	// Record is the file to which each run is appended.
	Record string
}

// windows are spans of time.
type windows []window

type window struct{ from, until time.Duration }

// String implements flag.Value.
func (w *windows) String() string {
	var out []string
	for _, o := range *w {
		out = append(out, o.from.String()+"-"+o.until.String())
	}
	return strings.Join(out, ",")
}

// Set implements flag.Value.
func (w *windows) Set(text string) error {
	for span := range strings.SplitSeq(text, ",") {
		if span == "" {
			continue
		}
		from, until, _ := strings.Cut(span, "-")
		a, err := time.ParseDuration(from)
		if err != nil {
			return err
		}
		b, err := time.ParseDuration(until)
		if err != nil {
			return err
		}
		*w = append(*w, window{a, b})
	}
	return nil
}

// hold reports whether one of the windows holds now.
func (w windows) hold(epoch time.Time) bool {
	since := time.Since(epoch)
	return slices.ContainsFunc(w, func(o window) bool { return since >= o.from && since < o.until })
}

// faulty reports whether the server is faulty now.
func (o *serverOptions) faulty() bool { return o.Windows.hold(time.UnixMilli(o.Epoch)) }

func (o *serverOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.Addr, "addr", "", "address")
	f.StringVar(&o.ID, "id", "", "ID in the registry")
	f.StringVar(&o.Stage, "stage", "plain", "plain, prefill or decode")
	f.IntVar(&o.Slots, "slots", 6, "requests at once")
	f.IntVar(&o.Queue, "queue", 24, "requests that wait")
	f.DurationVar(&o.Work, "work", 30*time.Millisecond, "time of a plain request")
	f.Float64Var(&o.PrefillRate, "prefill-rate", 0, "prompt tokens a second")
	f.DurationVar(&o.Gap, "gap", 200*time.Millisecond, "time between events")
	f.IntVar(&o.UnframedEvery, "unframed-every", 0, "one stream in so many has no length")
	f.IntVar(&o.ExtraEvery, "extra-every", 0, "one answer in so many is followed by additional bytes")
	f.IntVar(&o.FailEvery, "fail-every", 0, "one plain request in so many fails after it has run")
	f.Var(&o.Windows, "windows", "times in which these hold")
	f.Int64Var(&o.Epoch, "epoch", 0, "begin of these times, in Unix milliseconds")
	f.StringVar(&o.Record, "record", "", "file for the runs")
}

func (o *serverOptions) args() []string {
	return []string{
		"server", "-addr", o.Addr, "-id", o.ID, "-stage", o.Stage, "-slots", strconv.Itoa(o.Slots), "-queue", strconv.Itoa(o.Queue),
		"-work", o.Work.String(), "-prefill-rate", fmt.Sprint(o.PrefillRate), "-gap", o.Gap.String(), "-unframed-every", strconv.Itoa(o.UnframedEvery),
		"-extra-every", strconv.Itoa(o.ExtraEvery), "-fail-every", strconv.Itoa(o.FailEvery), "-windows", o.Windows.String(), "-epoch", strconv.FormatInt(o.Epoch, 10), "-record", o.Record,
	}
}

// server is a backend server.
type server struct {
	serverOptions
	record *os.File
	places chan struct{} // slots and queue
	slots  chan struct{}

	answers, streams, calls, handles atomic.Int64
	mu                               sync.Mutex
	kept                             map[string]string // request by handle
}

// serve runs a server until the process is killed.
func serve(o serverOptions) error {
	record, err := os.OpenFile(o.Record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	ln, err := net.Listen("tcp", o.Addr)
	if err != nil {
		return err
	}
	s := &server{
		serverOptions: o, record: record, places: make(chan struct{}, o.Slots+o.Queue), slots: make(chan struct{}, o.Slots), kept: map[string]string{},
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			return err
		}
		go s.connection(c)
	}
}

// note appends one line to the record.
func (s *server) note(format string, args ...any) {
	_, _ = fmt.Fprintf(s.record, "%s server %s "+format+"\n", append([]any{time.Now().Format("15:04:05.000"), s.ID}, args...)...)
}

// exchange is one request on a connection.
type exchange struct {
	s    *server
	c    net.Conn
	r    *http.Request
	id   string
	body []byte
}

// connection serves the requests of one connection, one after the other.
func (s *server) connection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	extra := false
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		x := &exchange{s: s, c: c, r: r, id: r.Header.Get("Request-Id"), body: body}
		if extra {
			s.note("additional bytes before the answer to %s", x.id)
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		extra = s.ExtraEvery > 0 && s.faulty() && s.answers.Add(1)%int64(s.ExtraEvery) == 0
		if !x.answer() {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (x *exchange) answer() bool {
	s := x.s
	if target := x.r.Header.Get("Target-Instance"); target != "" && target != s.ID {
		return x.send(http.StatusMisdirectedRequest, "Instance-Id: "+s.ID+"\r\n", "")
	}
	switch {
	case strings.HasPrefix(x.r.URL.Path, "/kv-handle/"):
		s.take(strings.TrimPrefix(x.r.URL.Path, "/kv-handle/"))
		return x.send(http.StatusOK, "", "")
	case strings.HasPrefix(x.r.URL.Path, "/standin-fetch/"):
		if of := s.take(strings.TrimPrefix(x.r.URL.Path, "/standin-fetch/")); of != "" {
			return x.send(http.StatusOK, "", of)
		}
		return x.send(http.StatusNotFound, "", "")
	}
	select {
	case s.places <- struct{}{}:
	default:
		return x.refuse()
	}
	defer func() { <-s.places }()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	prefill := x.r.Header.Get("Serving-Stage") == "prefill"
	if prompt, _ := tokens(x.r.Header); prompt > memoryTokens {
		s.note("refused %s with a prompt of %d tokens", x.id, prompt)
		return x.refuse() // larger than the memory: as if it were full
	}
	switch {
	case prefill != (s.Stage == "prefill"):
		return x.send(http.StatusMisdirectedRequest, "Instance-Id: "+s.ID+"\r\n", "")
	case prefill:
		return x.prefill()
	case s.Stage == "decode":
		return x.decode()
	}
	s.note("runs %s %s %s", x.id, x.r.Method, x.r.URL.Path)
	time.Sleep(s.Work)
	if s.FailEvery > 0 && s.faulty() && s.calls.Add(1)%int64(s.FailEvery) == 0 {
		s.note("failed %s after it ran", x.id)
		return x.send(http.StatusServiceUnavailable, x.load(), "")
	}
	return x.send(http.StatusOK, "Response-Seal: seal-"+x.id+"\r\n"+x.load(), "done "+x.id)
}

func (x *exchange) load() string {
	running := len(x.s.slots)
	return fmt.Sprintf("Server-Load: %d,%d,%d\r\n", running, len(x.s.places)-running, x.s.Slots)
}

func (x *exchange) refuse() bool {
	return x.send(http.StatusServiceUnavailable, "Not-Executed: 1\r\n"+x.load(), "")
}

// send sends an answer with a length.
func (x *exchange) send(status int, header, body string) bool {
	if x.id != "" {
		header += "Request-Id: " + x.id + "\r\n"
	}
	_, err := fmt.Fprintf(x.c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// take returns the request that a handle belongs to and forgets it; "" if it is gone.
func (s *server) take(handle string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.kept[handle]
	delete(s.kept, handle)
	return of
}

const handleTTL = 500 * time.Millisecond

// prefill reads a prompt and keeps the result for handleTTL.
func (x *exchange) prefill() bool {
	s := x.s
	prompt, _ := tokens(x.r.Header)
	time.Sleep(s.Work)
	if s.PrefillRate > 0 {
		time.Sleep(time.Duration(float64(prompt) / s.PrefillRate * float64(time.Second)))
	}
	handle := fmt.Sprintf("%s-%d", s.ID, s.handles.Add(1))
	s.mu.Lock()
	s.kept[handle] = x.id
	s.mu.Unlock()
	time.AfterFunc(handleTTL, func() { s.take(handle) })
	return x.send(http.StatusOK, "Content-Type: application/json\r\n"+x.load(), fmt.Sprintf(`{"handle":%q,"tokens":%d,"version":1}`, handle, prompt))
}

// tokens returns the lengths of the prompt and of the answer.
func tokens(h http.Header) (prompt, answer int) {
	a, b, _ := strings.Cut(h.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(a)
	answer, _ = strconv.Atoi(b)
	return prompt, answer
}

// fetch takes a prefill result from its server and returns the request it belongs to.
func fetch(source string) string {
	addr, handle, _ := strings.Cut(source, "/")
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/standin-fetch/"+handle, nil)
	if err != nil {
		return ""
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	return string(body)
}

// decode streams as many events as the request allows tokens.
func (x *exchange) decode() bool {
	s := x.s
	if source := x.r.Header.Get("Kv-Source"); source != "" {
		of := fetch(source)
		if of == "" {
			return x.refuse()
		}
		if of != x.id {
			s.note("decodes %s from the prompt of %s", x.id, of)
		}
	}
	_, last := tokens(x.r.Header)
	from, _ := strconv.Atoi(x.r.Header.Get("Last-Event-Id")) // absent: from the start
	unframed := s.UnframedEvery > 0 && s.faulty() && s.streams.Add(1)%int64(s.UnframedEvery) == 0
	s.note("runs %s after event %d of %d, without a length: %t", x.id, from, last, unframed)
	header := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: " + x.id + "\r\nResponse-Seal: seal-" + x.id + "\r\n" + x.load()
	if unframed {
		header += "Connection: close\r\n\r\n"
	} else {
		header += "Transfer-Encoding: chunked\r\n\r\n"
	}
	gone := make(chan struct{})
	go func() { // a server drops a request whose connection closes
		_, _ = x.c.Read(make([]byte, 1))
		close(gone)
	}()
	for i := from + 1; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s token %d\n\n", i, x.id, i)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(x.c, header+event); err != nil {
			s.note("broke off %s before event %d: %v", x.id, i, err)
			return false
		}
		header = ""
		select {
		case <-gone:
			s.note("broke off %s after event %d: the connection was closed", x.id, i)
			return false
		case <-time.After(s.Gap):
		}
	}
	if !unframed {
		_, _ = io.WriteString(x.c, "0\r\n\r\n")
	}
	s.note("ended %s", x.id)
	return false
}
