package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/samphirestream/samphirestream/internal/controlplane"
)

// Platform is a stand-in for all of the platform's services at one address.
type Platform struct {
	Config  *ConfigService
	VMs     *VMList
	Weights *WeightStore
}

// Handler returns the HTTP interfaces of the services and one for tests:
//
//	POST /control/publish                      publish the note in the body
//	POST /control/config?state=up|down|stale   set the state of the configuration service
//	POST /control/config?show=N                show readers only the first N notes
//	POST /control/vms                          replace the VM list by the controlplane.VMs in the body
//	POST /control/vmlist?state=up|down         set the state of the VM list
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	config := p.Config.Handler()
	mux.Handle("/v1/notes/", config)
	mux.Handle("/v1/head", config)
	mux.Handle("/v1/vms", p.VMs.Handler())
	mux.Handle("/v1/weights/", p.Weights.Handler())
	mux.HandleFunc("POST /control/publish", p.publish)
	mux.HandleFunc("POST /control/config", p.controlConfig)
	mux.HandleFunc("POST /control/vms", p.controlVMs)
	mux.HandleFunc("POST /control/vmlist", func(_ http.ResponseWriter, r *http.Request) {
		p.VMs.SetDown(r.FormValue("state") == "down")
	})
	return mux
}

func (p *Platform) publish(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Config.Publish(raw)
}

func (p *Platform) controlConfig(_ http.ResponseWriter, r *http.Request) {
	if show, err := strconv.Atoi(r.FormValue("show")); err == nil {
		p.Config.ShowOnly(show)
		return
	}
	p.Config.SetDown(r.FormValue("state") == "down")
	p.Config.SetStale(r.FormValue("state") == "stale")
}

func (p *Platform) controlVMs(w http.ResponseWriter, r *http.Request) {
	var in controlplane.VMs
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.VMs.Set(in.VMs...)
}
