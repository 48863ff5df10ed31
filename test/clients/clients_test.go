package clients

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/settings"
)

// limits are those of a process and the size of the crowd that comes.
var limits = []struct {
	name           string
	sockets, crowd int
	all            bool // all crowds come
}{
	{"few descriptors", 200, 320, false},
	{"little memory", 4000, 800, true},
}

// Bounds of one client.
const (
	dialTimeout = 2 * time.Second
	sendTimeout = 5 * time.Second
	slowPace    = 50 * time.Millisecond
	slowPieces  = 40
	// settleTime is the time for which a crowd stands still before the ordinary request.
	settleTime = 600 * time.Millisecond
)

// shortFields is a part of a header of legal size whose fields are as short as can be.
var shortFields = func() string {
	var b strings.Builder
	for i := 0; b.Len() < headerBytes-1000; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strings.ReplaceAll(fmt.Sprintf("%x", i), "0", "g"))
	}
	return b.String()
}()

var body = bytes.Repeat([]byte("x"), 16<<20)

// pieces writes data in pieces of a size.
func pieces(w io.Writer, data []byte, size int, frame string) {
	for len(data) > 0 {
		n := min(size, len(data))
		var err error
		if frame == "" {
			_, err = w.Write(data[:n])
		} else {
			_, err = fmt.Fprintf(w, frame, n, data[:n])
		}
		if err != nil {
			return
		}
		data = data[n:]
	}
}

const chunk = "%x\r\n%s\r\n"

// crowds are what each client of a crowd sends after the beginning of a header, before it stays
// connected without reading.
var crowds = []struct {
	name        string
	connections bool // the crowd also comes where the descriptors are few
	send        func(w io.Writer, head string)
}{
	{"silent", true, func(io.Writer, string) {}},
	{"idle after a request", true, func(w io.Writer, head string) { fmt.Fprintf(w, "%sContent-Length: 0\r\n\r\n", head) }},
	{"unfinished header", true, func(w io.Writer, head string) { fmt.Fprint(w, head, shortFields) }},
	{"many short fields", false, func(w io.Writer, head string) {
		fmt.Fprint(w, head, shortFields, "Content-Length: 100\r\n\r\n")
		_, _ = w.Write(body[:99])
	}},
	{"body of many short values", false, func(w io.Writer, head string) {
		values := fmt.Sprintf(`{"model":"reader@1","messages":[%s{}]}`, strings.Repeat("{},", bodyBytes/3-20))
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", head, len(values), values)
	}},
	{"body that stops short", true, func(w io.Writer, head string) {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, bodyBytes)
		_, _ = w.Write(body[:bodyBytes-1])
	}},
	{"body in small pieces that stops short", false, func(w io.Writer, head string) {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, bodyBytes/2)
		pieces(w, body[:bodyBytes/2-1], 512, "")
	}},
	{"body in chunks that stops short", false, func(w io.Writer, head string) {
		fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		pieces(w, body[:bodyBytes/2], 256, chunk)
	}},
	{"body far over the limit", false, func(w io.Writer, head string) {
		fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n", head, int64(1)<<40)
		_, _ = w.Write(body)
	}},
	{"chunks far over the limit", false, func(w io.Writer, head string) {
		fmt.Fprintf(w, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		pieces(w, body, 64<<10, chunk)
	}},
	{"requests sent ahead", true, func(w io.Writer, head string) {
		pieces(w, []byte(strings.Repeat(head+"Content-Length: 0\r\n\r\n", 2000)), 16<<10, "")
	}},
	{"slow header", false, func(w io.Writer, head string) { slowly(w, head+shortFields) }},
	{"slow body", false, func(w io.Writer, head string) {
		fmt.Fprintf(w, "%s%sContent-Length: %d\r\n\r\n", head, shortFields, bodyBytes)
		slowly(w, string(body[:bodyBytes]))
	}},
}

// slowly writes the beginning of a text byte by byte.
func slowly(w io.Writer, text string) {
	for i := range slowPieces {
		if _, err := io.WriteString(w, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(slowPace)
	}
}

// ports are the paths and ports at which crowds come. head is the beginning of their requests.
var ports = []struct {
	name  string
	start func(t *testing.T, sockets int) *process
	port  int
	head  string
	// largest is the end of a body that is served, however many spaces come before it; "" where
	// none is.
	largest string
	// admin is the port of the metrics, for those ports at which all crowds come in turn; else 0.
	admin int
}{
	{"platform route", startEntry, callersPort, "POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nDeadline-Ms: 60000\r\n", "x", lastPort},
	{"platform large answers", startEntry, callersPort, "POST /a/large HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nDeadline-Ms: 60000\r\n", "", 0},
	{"platform stream", startStreams, callersPort, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\nToken-Usage: 10,100\r\nDeadline-Ms: 60000\r\n", "", 0},
	{"platform no route", startEntry, callersPort, "POST /none HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r\r\n", "", 0},
	{"platform readiness", startEntry, readyPort, "GET /ready HTTP/1.1\r\nHost: h\r\n", "", lastPort},
	{"platform readiness other path", startEntry, readyPort, "POST /none HTTP/1.1\r\nHost: h\r\n", "", 0},
	{"platform admin", startEntry, lastPort, "GET /debug/state HTTP/1.1\r\nHost: h\r\n", "", 0},
	{"platform agent", func(t *testing.T, sockets int) *process { return startPlatform(t, sockets, "-agent") }, lastPort, "GET /metrics HTTP/1.1\r\nHost: h\r\n", "", 0},
	{"own model", startOwnEntry, entryPort, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n", "", 0},
	{"own service", startOwnEntry, entryPort, "POST /ledger/payments HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + key + "\r\n", `{"contract":"C1"}`, adminPort},
	{"own no key", startOwnEntry, entryPort, "POST /none HTTP/1.1\r\nHost: h\r\n", "", 0},
	{"own admin", startOwnEntry, adminPort, "GET /debug/state HTTP/1.1\r\nHost: h\r\n", "", 0},
	{"own peers", startOwnEntry, peersPort, "\x00\xf0\x00\x00", "", 0}, // the length of a frame
	{"own agent peers", startOwnAgent, peersPort, "\x00\xf0\x00\x00", "", 0},
	{"own agent admin", startOwnAgent, adminPort, "GET /metrics HTTP/1.1\r\nHost: h\r\n", "", 0},
}

func startEntry(t *testing.T, sockets int) *process { return startPlatform(t, sockets) }

// startStreams starts an entry that must answer an ordinary stream, too.
func startStreams(t *testing.T, sockets int) *process {
	p := startPlatform(t, sockets)
	p.ordinary = append(p.ordinary, request(http.MethodPost, "http://"+p.addr(callersPort)+"/stream/x", "Host", host, "Request-Id", "stream", "Deadline-Ms", "5000", "Token-Usage", "10,100"))
	return p
}

func startOwnEntry(t *testing.T, sockets int) *process {
	return startOwn(t, sockets, settings.RoleEntry)
}

func startOwnAgent(t *testing.T, sockets int) *process {
	return startOwn(t, sockets, settings.RoleAgent)
}

// come starts a crowd, and returns when it has sent all that it sends. It stays connected until
// leave is called or the test ends.
func come(t *testing.T, size int, addr, head string, send func(io.Writer, string)) (leave func()) {
	conns := make([]net.Conn, size) // nil if refused
	var clients sync.WaitGroup
	for i := range size {
		clients.Go(func() {
			c, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return
			}
			conns[i] = c
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(c, head)
		})
	}
	clients.Wait()
	leave = func() {
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
	t.Cleanup(leave)
	return leave
}

// watch returns the most that a process holds until done is closed.
func (p *process) watch(done <-chan struct{}) (most use) {
	for {
		now := p.use()
		most.memory, most.sockets = max(most.memory, now.memory), max(most.sockets, now.sockets)
		select {
		case <-done:
			return most
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// TestCrowdsOfClients guards against clients that end a process, or keep others from being
// served: by what they make it hold in memory, by their connections or by what they never send.
func TestCrowdsOfClients(t *testing.T) {
	for _, limit := range limits {
		for _, port := range ports {
			for _, crowd := range crowds {
				if !limit.all && !crowd.connections {
					continue
				}
				t.Run(limit.name+"/"+port.name+"/"+crowd.name, func(t *testing.T) {
					is := is.New(t)
					p := port.start(t, limit.sockets)
					done, most := make(chan struct{}), make(chan use)
					go func() { most <- p.watch(done) }()
					come(t, limit.crowd, p.addr(port.port), port.head, crowd.send)
					time.Sleep(settleTime)
					for _, r := range p.ordinary {
						is.NoErr(answers(r, ordinaryTries, ordinaryPause)) // an ordinary request is answered
					}
					close(done)
					held := <-most
					t.Logf("%d MB, %d sockets", held.memory>>20, held.sockets)
					select {
					case <-p.exited:
						t.Fatal("the process has ended")
					default:
					}
					is.True(held.memory <= memoryBytes)    // within the memory
					is.True(held.sockets <= limit.sockets) // within the descriptors
				})
			}
		}
	}
}

// TestLargestRequestIsServed guards against limits that a single request within those of the
// configuration meets.
func TestLargestRequestIsServed(t *testing.T) {
	for _, port := range ports {
		if port.largest == "" {
			continue
		}
		t.Run(port.name, func(t *testing.T) {
			is := is.New(t)
			p := port.start(t, 200)
			c, err := net.DialTimeout("tcp", p.addr(port.port), dialTimeout)
			is.NoErr(err)
			defer c.Close()
			_, err = fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s%s", port.head, shortFields, bodyBytes, bytes.Repeat([]byte(" "), bodyBytes-len(port.largest)), port.largest)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			text, _ := io.ReadAll(resp.Body)
			t.Logf("%s %s", resp.Status, text)
			is.Equal(resp.StatusCode/100, 2) // it is served
		})
	}
}

// TestStopWithCrowds guards against clients that keep a process from stopping.
func TestStopWithCrowds(t *testing.T) {
	for _, port := range ports {
		t.Run(port.name, func(t *testing.T) {
			p := port.start(t, 200)
			for _, crowd := range crowds {
				if crowd.connections {
					come(t, 15, p.addr(port.port), port.head, crowd.send) // all of them fit
				}
			}
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-p.exited:
			case <-time.After(2 * gracePeriod):
				t.Fatal("the process hangs")
			}
		})
	}
}

// TestCrowdsLeaveNothing guards against memory that is held for clients that have gone.
func TestCrowdsLeaveNothing(t *testing.T) {
	for _, port := range ports {
		if port.admin == 0 {
			continue
		}
		t.Run(port.name, func(t *testing.T) {
			is := is.New(t)
			p := port.start(t, 200)
			for _, crowd := range crowds {
				come(t, 320, p.addr(port.port), port.head, crowd.send)()
			}
			var held map[string]int64
			for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(startPause) {
				if held = p.held(t, port.admin); len(held) == 0 {
					break
				}
			}
			is.Equal(held, map[string]int64{})
		})
	}
}

// held returns the metrics of what a process holds for clients, except for the one that asks.
func (p *process) held(t *testing.T, admin int) map[string]int64 {
	resp, err := http.Get("http://" + p.addr(admin) + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	const asking = 2 << 10 // bytes of the header of this request
	out := map[string]int64{}
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		for name, own := range map[string]int64{"memory_headers_bytes": asking, "memory_bodies_bytes": 0, "memory_answers_bytes": 0, "slow_senders": 0, "slow_readers": 0} {
			f := strings.Fields(lines.Text())
			if len(f) == 2 && strings.Contains(f[0], "_"+name+"{") {
				if n, _ := strconv.ParseInt(f[1], 10, 64); n > own {
					out[name] = n
				}
			}
		}
	}
	return out
}
