package release

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/samphirestream/samphirestream/internal/apikey"
	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// FleetState is the state of the fleet that results from applying all notes of the
// chain up to one. It is immutable: Apply returns a new FleetState, so readers need
// no locks.
type FleetState struct {
	// Number and Digest identify the last note of the chain.
	Number uint64
	Digest string

	models    map[string]Model
	adapters  map[string]Adapter
	servers   map[string]BackendServer
	services  map[string]Service
	providers map[string]Provider
	// withdrawn maps the keys of withdrawn models and adapters to the number of
	// the note that withdrew them.
	withdrawn map[string]uint64

	index index

	stateOnce   sync.Once
	stateDigest string
}

// index holds lookup tables and sorted lists that are derived from the items.
type index struct {
	providersByKey *apikey.Table[Provider]
	// modelsByName is keyed by NAME@VERSION, by the name of a model with a default
	// version, and by the name of an adapter.
	modelsByName     map[string]Model
	pools            map[poolKey][]BackendServer
	serversByService map[string][]BackendServer
	servers          []BackendServer
	models           []Model
	services         []Service
}

// poolKey identifies the servers of one role that hold one model.
type poolKey struct {
	role  Role
	model string
}

// EmptyState returns the state before the first note.
func EmptyState() *FleetState {
	state := &FleetState{
		models:    map[string]Model{},
		adapters:  map[string]Adapter{},
		servers:   map[string]BackendServer{},
		services:  map[string]Service{},
		providers: map[string]Provider{},
		withdrawn: map[string]uint64{},
	}
	state.index = state.buildIndex()
	return state
}

// Apply returns the state after d. When d is not the next note of the chain, or its
// items contradict the state, the error is strictyaml.Problems and matches
// errors.NotValid.
func (state *FleetState) Apply(d Document) (*FleetState, error) {
	n := d.Note
	if err := state.checkSuccessor(n); err != nil {
		return nil, addLines(d.Raw, err)
	}
	next := state.clone()
	next.Number, next.Digest = n.Number, d.Digest
	if err := next.applyItems(n); err != nil {
		return nil, addLines(d.Raw, err)
	}
	if err := next.checkNoteReferences(n); err != nil {
		return nil, addLines(d.Raw, err)
	}
	next.trimWithdrawn()
	next.index = next.buildIndex()
	return next, nil
}

// checkSuccessor verifies that a note continues the chain.
func (state *FleetState) checkSuccessor(n Note) error {
	var ps strictyaml.Problems
	if n.Number != state.Number+1 {
		ps.Add("number", fmt.Sprintf("publish note %d next", state.Number+1), "note %d after note %d", n.Number, state.Number)
		return ps
	}
	if n.Previous != state.Digest {
		ps.Add("previous", fmt.Sprintf("write %q", state.Digest), "%q is not the digest of note %d", n.Previous, state.Number)
	}
	return ps.Err()
}

// clone copies the items; the caller sets Number and Digest and builds the index.
func (state *FleetState) clone() *FleetState {
	return &FleetState{
		models:    maps.Clone(state.models),
		adapters:  maps.Clone(state.adapters),
		servers:   maps.Clone(state.servers),
		services:  maps.Clone(state.services),
		providers: maps.Clone(state.providers),
		withdrawn: maps.Clone(state.withdrawn),
	}
}

// applyItems applies the changes of a note to the items and to the withdrawn keys. The
// state must not be shared yet, since it is modified.
func (state *FleetState) applyItems(n Note) error {
	added, changed, withdrawn := n.Added, n.Changed, n.Withdrawn
	for _, key := range slices.Concat(withdrawn.Models, withdrawn.Adapters) {
		state.withdrawn[key] = n.Number
	}
	for _, item := range slices.Concat(added.Models, changed.Models) {
		delete(state.withdrawn, item.Key())
	}
	for _, item := range slices.Concat(added.Adapters, changed.Adapters) {
		delete(state.withdrawn, item.Name)
	}
	var ps strictyaml.Problems
	updateItems(&ps, "models", state.models, added.Models, changed.Models, withdrawn.Models, Model.Key)
	updateItems(&ps, "adapters", state.adapters, added.Adapters, changed.Adapters, withdrawn.Adapters, adapterName)
	updateItems(&ps, "backend_servers", state.servers, added.BackendServers, changed.BackendServers, withdrawn.BackendServers, serverName)
	updateItems(&ps, "services", state.services, added.Services, changed.Services, withdrawn.Services, serviceName)
	updateItems(&ps, "providers", state.providers, added.Providers, changed.Providers, withdrawn.Providers, providerName)
	return ps.Err()
}

// updateItems withdraws, changes and adds the items of one section, in that order.
func updateItems[T any](ps *strictyaml.Problems, section string, items map[string]T, added, changed []T, withdrawn []string, key func(T) string) {
	for i, k := range withdrawn {
		if _, ok := items[k]; !ok {
			ps.Add(itemPath("withdrawn", section, i), "remove it from the note", "%q does not exist", k)
		}
		delete(items, k)
	}
	for i, item := range changed {
		if _, ok := items[key(item)]; !ok {
			ps.Add(itemPath("changed", section, i), "list it under added", "%q does not exist", key(item))
		}
		items[key(item)] = item
	}
	for i, item := range added {
		if _, ok := items[key(item)]; ok {
			ps.Add(itemPath("added", section, i), "list it under changed", "%q exists already", key(item))
		}
		items[key(item)] = item
	}
}

// buildIndex derives the index from the items.
func (state *FleetState) buildIndex() index {
	ix := index{
		providersByKey:   apikey.NewTable[Provider](),
		modelsByName:     map[string]Model{},
		pools:            map[poolKey][]BackendServer{},
		serversByService: map[string][]BackendServer{},
	}
	for _, p := range state.providers {
		for _, k := range p.KeyDigests {
			d, err := apikey.ParseDigest(k)
			if err != nil {
				continue // validation rejects notes with other digests
			}
			ix.providersByKey.Add(d, p)
		}
	}
	for key, m := range state.models {
		ix.modelsByName[key] = m
		if m.Default {
			ix.modelsByName[m.Name] = m
		}
		ix.models = append(ix.models, m)
	}
	for _, a := range state.adapters {
		ix.modelsByName[a.Name] = state.models[a.Model]
	}
	for _, name := range slices.Sorted(maps.Keys(state.servers)) {
		ix.addServer(state.servers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(state.services)) {
		ix.services = append(ix.services, state.services[name])
	}
	slices.SortFunc(ix.models, func(a, b Model) int { return strings.Compare(a.Key(), b.Key()) })
	return ix
}

// addServer adds a server to the list, and to its pools or its plain service.
func (ix *index) addServer(s BackendServer) {
	ix.servers = append(ix.servers, s)
	if s.Role == RoleService {
		ix.serversByService[s.Service] = append(ix.serversByService[s.Service], s)
		return
	}
	for _, m := range s.Models {
		k := poolKey{s.Role, m}
		ix.pools[k] = append(ix.pools[k], s)
	}
}

// ProviderByKey returns the provider that owns a bearer key.
func (state *FleetState) ProviderByKey(key string) (Provider, bool) {
	return state.index.providersByKey.Lookup(key)
}

// Model returns the model that name refers to: NAME@VERSION, the NAME of a
// model with a default version, or the name of an adapter.
func (state *FleetState) Model(name string) (Model, bool) {
	m, ok := state.index.modelsByName[name]
	return m, ok
}

// WasWithdrawn reports whether name is the key of a withdrawn model or adapter, as far
// as the state still records it (maxWithdrawnKeys).
func (state *FleetState) WasWithdrawn(name string) bool {
	_, ok := state.withdrawn[name]
	return ok
}

// Pool returns the servers of a role that hold a model, ordered by name. The
// result is shared and must not be modified.
func (state *FleetState) Pool(role Role, modelKey string) []BackendServer {
	return state.index.pools[poolKey{role, modelKey}]
}

// ServiceServers returns the servers of a plain service, ordered by name. The
// result is shared and must not be modified.
func (state *FleetState) ServiceServers(name string) []BackendServer {
	return state.index.serversByService[name]
}

// Server returns a backend server by name.
func (state *FleetState) Server(name string) (BackendServer, bool) {
	s, ok := state.servers[name]
	return s, ok
}

// Servers returns all backend servers, ordered by name. The result is shared
// and must not be modified.
func (state *FleetState) Servers() []BackendServer { return state.index.servers }

// Models returns all models, ordered by key. The result is shared and must not
// be modified.
func (state *FleetState) Models() []Model { return state.index.models }

// ServiceFor returns the plain service with the longest prefix that covers urlPath, and the
// rest of the path.
func (state *FleetState) ServiceFor(urlPath string) (service Service, rest string, ok bool) {
	for _, s := range state.index.services {
		after, covers := strings.CutPrefix(urlPath, s.Prefix)
		if covers && (after == "" || after[0] == '/') && (!ok || len(s.Prefix) > len(service.Prefix)) {
			service, rest, ok = s, after, true
		}
	}
	return service, rest, ok
}

// Call returns the first declared call that matches a method and the rest of a path.
func (s Service) Call(method, rest string) (ServiceCall, bool) {
	for _, c := range s.Calls {
		if ok, _ := path.Match(c.Path, rest); ok && c.Method == method {
			return c, true
		}
	}
	return ServiceCall{}, false
}

// Adapters returns all adapters, ordered by name.
func (state *FleetState) Adapters() []Adapter {
	out := make([]Adapter, 0, len(state.adapters))
	for _, name := range slices.Sorted(maps.Keys(state.adapters)) {
		out = append(out, state.adapters[name])
	}
	return out
}

// ProviderWeight returns the weight of a provider, or 1 if no such provider exists.
func (state *FleetState) ProviderWeight(name string) float64 {
	if p, ok := state.providers[name]; ok && p.Weight > 0 {
		return p.Weight
	}
	return 1
}
