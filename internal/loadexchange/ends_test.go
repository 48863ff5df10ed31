package loadexchange

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/advisory"
	"github.com/samphirestream/samphirestream/internal/blame"
)

// recorder is an exchange with a record of the ends that it receives.
type recorder struct {
	*Exchange
	ignored
	*blame.Record
	stop context.CancelFunc
}

func (r *recorder) AddRemoteEnd(e blame.End) { r.AddEnd(e) }
func (r *recorder) AddRemoteSurvived(c blame.Key, at time.Time) {
	r.AddSurvived(blame.Request{Shared: []blame.Key{c}}, at)
}
func (r *recorder) Evidence() ([]blame.End, map[blame.Key]time.Time) { return r.Record.Evidence() }

func (n *network) startRecorder(addr string) *recorder {
	r := &recorder{Record: blame.NewRecord()}
	r.Exchange = New(n.Listen(addr), Options{Self: addr, Seeds: []string{"10.0.0.1:7"}}, log.NewNopLogger())
	r.SetHandler(r)
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go r.Run(ctx)
	return r
}

// TestEvidenceReachesAllEntries reports ends with many requests while each datagram to one
// entry is lost for a while, and starts another entry afterwards.
func TestEvidenceReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		var all []*recorder
		for i := range 6 {
			all = append(all, n.startRecorder(fmt.Sprintf("10.0.0.%d:7", i+1)))
		}
		time.Sleep(3 * time.Second)
		n.SetDrop(func(_, to string) bool { return to == "10.0.0.4:7" })
		for i := range 5 {
			e := blame.End{Boot: advisory.Boot{ID: fmt.Sprint("s", i), Started: 7}, DataCentre: fmt.Sprint(i), At: time.Now()}
			for q := range 30 {
				request := blame.Request{Own: []blame.Key{blame.NewKey("request", fmt.Sprint(i, q))}, Shared: []blame.Key{blame.PartKey("org", "common"), blame.PartKey("org", "fatal")}}
				for len(request.Shared) < 30 {
					request.Shared = append(request.Shared, blame.PartKey("org", fmt.Sprint(i, q, len(request.Shared))))
				}
				e.Requests = append(e.Requests, request)
			}
			all[i].AddEnd(e)
			all[i].ReportEnd(e)
		}
		all[0].AddSurvived(blame.Request{Shared: []blame.Key{blame.PartKey("org", "common")}}, time.Now().Add(-time.Second))
		all[0].ReportSurvived(map[blame.Key]time.Time{blame.PartKey("org", "common"): time.Now().Add(-time.Second)})
		time.Sleep(100 * time.Millisecond)
		n.SetDrop(nil)
		time.Sleep(2 * time.Second)
		all = append(all, n.startRecorder("10.0.0.9:7"))
		time.Sleep(time.Second)
		for _, r := range all {
			got := r.Blames(time.Now())
			is.Equal(len(got), 1)
			is.Equal(got[0].Causes, []blame.Key{blame.PartKey("org", "fatal")})
			is.Equal(got[0].Ends, 5)
			is.Equal(got[0].Requests, 150)
			r.stop()
		}
		time.Sleep(time.Minute)
	})
}

// TestEvidenceFitsIntoDatagrams reports the end of a server for each of many requests.
func TestEvidenceFitsIntoDatagrams(t *testing.T) {
	is := is.New(t)
	var e evidence
	for i := range 500 {
		key := blame.NewKey("request", fmt.Sprint(i))
		e.ends = append(e.ends, blame.End{Boot: advisory.Boot{ID: "i-60961f7d33", Started: 1772874270409}, DataCentre: "nbo-upperhill", Requests: []blame.Request{{Own: []blame.Key{key, key}}}})
	}
	reported := 0
	for _, m := range e.messages(time.Now()) {
		b, err := encode(m)
		is.NoErr(err)
		is.True(len(b) <= maxDatagram)
		reported += len(m.Ends)
	}
	is.Equal(reported, 500)
}
