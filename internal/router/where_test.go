package router_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/apierror"
	"github.com/samphirestream/samphirestream/internal/directory"
	"github.com/samphirestream/samphirestream/internal/router"
)

// TestWhereExplainsWithoutSending guards against an explanation that sends, queues or charges a
// request, or that names another server than a request then goes to.
func TestWhereExplainsWithoutSending(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		is := is.New(t)
		ask := func(query string) (w router.Where) {
			rec := httptest.NewRecorder()
			f.ServeWhere(rec, httptest.NewRequest(http.MethodGet, "/debug/where?"+query, nil))
			is.Equal(rec.Code, http.StatusOK)
			is.NoErr(json.Unmarshal(rec.Body.Bytes(), &w))
			return w
		}
		leaving := *f.directory.Current().Servers["d2"]
		leaving.Draining, leaving.Version = true, directory.Version{Revision: 9}
		is.True(f.directory.Put(&leaving))
		before := f.Snapshot()
		w := ask("host=h&path=/stream/x&prompt=5000&answer=9000")
		is.Equal(w.Refusal, nil)
		is.Equal(w.Service, "llm")
		is.True(w.Model.Prefill != "" && w.Model.Decode != "" && w.Model.Decode != "d2")
		is.Equal(w.Model.Decodes[1].Server, "d2")
		is.Equal(w.Model.Decodes[1].Dropped, "Usable")
		is.True(w.Model.Prefills[0].Costs["PrefillCost"] > 0)
		f.servers.setReachable("a1", false)
		f.call(context.Background(), "/safe/x") // one of the servers may be suspected then
		plain := ask("host=h&path=/safe/x")
		is.True(plain.Server != "" && len(plain.Plain) == len(plainServers))
		is.Equal(ask("host=h&path=/nowhere/").Refusal.Kind, apierror.KindNotFound)
		is.Equal(f.Snapshot().Waiting, before.Waiting)
		for _, c := range f.servers.recorded() {
			is.True(c != "d1" && c != "prefill p1" && c != "prefill p2") // nothing was sent for the question
		}
		rec := httptest.NewRecorder()
		f.ServeWhere(rec, httptest.NewRequest(http.MethodGet, "/debug/where?host=h&prompt=many", nil))
		is.Equal(rec.Code, http.StatusBadRequest)
		f.servers.setReachable("a1", true)
		time.Sleep(5 * time.Second) // probes end
	})
}
