package release

import (
	"fmt"
	"maps"
	"path"
	"slices"
	"strings"
	"sync"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// Fold is the state of the fleet that results from applying all notes of the chain
// up to one. It is immutable: Apply returns a new Fold, so readers need no locks.
type Fold struct {
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
	// providersByDigest is keyed by the digest of a bearer key.
	providersByDigest map[string]Provider
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

// Empty returns the state before the first note.
func Empty() *Fold {
	f := &Fold{
		models:    map[string]Model{},
		adapters:  map[string]Adapter{},
		servers:   map[string]BackendServer{},
		services:  map[string]Service{},
		providers: map[string]Provider{},
		withdrawn: map[string]uint64{},
	}
	f.index = f.buildIndex()
	return f
}

// Apply returns the state after d. When d is not the next note of the chain, or its
// items contradict the state, the error is strictyaml.Problems and matches
// errors.NotValid.
func (f *Fold) Apply(d Document) (*Fold, error) {
	n := d.Note
	if err := f.checkSuccessor(n); err != nil {
		return nil, addLines(d.Raw, err)
	}
	next := f.clone()
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
func (f *Fold) checkSuccessor(n Note) error {
	var ps strictyaml.Problems
	if n.Number != f.Number+1 {
		ps.Add("number", fmt.Sprintf("publish note %d next", f.Number+1), "note %d after note %d", n.Number, f.Number)
		return ps
	}
	if n.Previous != f.Digest {
		ps.Add("previous", fmt.Sprintf("write %q", f.Digest), "%q is not the digest of note %d", n.Previous, f.Number)
	}
	return ps.Err()
}

// clone copies the items; the caller sets Number and Digest and builds the index.
func (f *Fold) clone() *Fold {
	return &Fold{
		models:    maps.Clone(f.models),
		adapters:  maps.Clone(f.adapters),
		servers:   maps.Clone(f.servers),
		services:  maps.Clone(f.services),
		providers: maps.Clone(f.providers),
		withdrawn: maps.Clone(f.withdrawn),
	}
}

// applyItems applies the changes of a note to the items and to the withdrawn keys. f
// must not be shared yet.
func (f *Fold) applyItems(n Note) error {
	a, items, w := n.Added, n.Changed, n.Withdrawn
	for _, key := range slices.Concat(w.Models, w.Adapters) {
		f.withdrawn[key] = n.Number
	}
	for _, item := range slices.Concat(a.Models, items.Models) {
		delete(f.withdrawn, item.Key())
	}
	for _, item := range slices.Concat(a.Adapters, items.Adapters) {
		delete(f.withdrawn, item.Name)
	}
	var ps strictyaml.Problems
	updateItems(&ps, "models", f.models, a.Models, items.Models, w.Models, Model.Key)
	updateItems(&ps, "adapters", f.adapters, a.Adapters, items.Adapters, w.Adapters, adapterName)
	updateItems(&ps, "backend_servers", f.servers, a.BackendServers, items.BackendServers, w.BackendServers, serverName)
	updateItems(&ps, "services", f.services, a.Services, items.Services, w.Services, serviceName)
	updateItems(&ps, "providers", f.providers, a.Providers, items.Providers, w.Providers, providerName)
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
func (f *Fold) buildIndex() index {
	ix := index{
		providersByDigest: map[string]Provider{},
		modelsByName:      map[string]Model{},
		pools:             map[poolKey][]BackendServer{},
		serversByService:  map[string][]BackendServer{},
	}
	for _, p := range f.providers {
		for _, k := range p.KeyDigests {
			ix.providersByDigest[k] = p
		}
	}
	for key, m := range f.models {
		ix.modelsByName[key] = m
		if m.Default {
			ix.modelsByName[m.Name] = m
		}
		ix.models = append(ix.models, m)
	}
	for _, a := range f.adapters {
		ix.modelsByName[a.Name] = f.models[a.Model]
	}
	for _, name := range slices.Sorted(maps.Keys(f.servers)) {
		ix.addServer(f.servers[name])
	}
	for _, name := range slices.Sorted(maps.Keys(f.services)) {
		ix.services = append(ix.services, f.services[name])
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
func (f *Fold) ProviderByKey(key string) (Provider, bool) {
	p, ok := f.index.providersByDigest[Digest([]byte(key))]
	return p, ok
}

// Model returns the model that name refers to: NAME@VERSION, the NAME of a
// model with a default version, or the name of an adapter.
func (f *Fold) Model(name string) (Model, bool) {
	m, ok := f.index.modelsByName[name]
	return m, ok
}

// WasWithdrawn reports whether name is the key of a withdrawn model or adapter.
func (f *Fold) WasWithdrawn(name string) bool {
	_, ok := f.withdrawn[name]
	return ok
}

// Pool returns the servers of a role that hold a model, ordered by name. The
// result is shared and must not be modified.
func (f *Fold) Pool(role Role, modelKey string) []BackendServer {
	return f.index.pools[poolKey{role, modelKey}]
}

// ServiceServers returns the servers of a plain service, ordered by name. The
// result is shared and must not be modified.
func (f *Fold) ServiceServers(name string) []BackendServer { return f.index.serversByService[name] }

// Server returns a backend server by name.
func (f *Fold) Server(name string) (BackendServer, bool) {
	s, ok := f.servers[name]
	return s, ok
}

// Servers returns all backend servers, ordered by name. The result is shared
// and must not be modified.
func (f *Fold) Servers() []BackendServer { return f.index.servers }

// Models returns all models, ordered by key. The result is shared and must not
// be modified.
func (f *Fold) Models() []Model { return f.index.models }

// ServiceFor returns the first plain service, by name, whose prefix covers urlPath,
// and the rest of the path.
func (f *Fold) ServiceFor(urlPath string) (Service, string, bool) {
	for _, s := range f.index.services {
		rest, ok := strings.CutPrefix(urlPath, s.Prefix)
		if ok && (rest == "" || rest[0] == '/') {
			return s, rest, true
		}
	}
	return Service{}, "", false
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
func (f *Fold) Adapters() []Adapter {
	out := make([]Adapter, 0, len(f.adapters))
	for _, name := range slices.Sorted(maps.Keys(f.adapters)) {
		out = append(out, f.adapters[name])
	}
	return out
}

// ProviderWeight returns the weight of a provider, or 1 if no such provider exists.
func (f *Fold) ProviderWeight(name string) float64 {
	if p, ok := f.providers[name]; ok && p.Weight > 0 {
		return p.Weight
	}
	return 1
}
