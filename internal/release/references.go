package release

import (
	"maps"
	"slices"

	"github.com/samphirestream/samphirestream/internal/strictyaml"
)

// checkReferences is checkNoteReferences for a fleet state that does not result from a
// note, such as one from a snapshot. Its problems have no path.
func (state *FleetState) checkReferences() error { return state.checkNoteReferences(Note{}) }

// checkNoteReferences verifies that items refer only to items that exist and that
// names, addresses, prefixes and keys are unique where required. A problem is reported
// at the item of the note that caused it.
func (state *FleetState) checkNoteReferences(n Note) error {
	r := referenceChecker{state: state, paths: itemPathsOf(n)}
	r.checkAdapters()
	r.checkServers()
	r.checkServices()
	r.checkProviderKeys()
	r.checkDefaultVersions()
	return r.problems.Err()
}

// referenceChecker collects the inconsistencies of a fleet state.
type referenceChecker struct {
	state    *FleetState
	paths    itemPaths
	problems strictyaml.Problems
}

// itemPaths maps the items of a note, by section and key, to their paths in it.
type itemPaths map[string]string

func itemPathsOf(n Note) itemPaths {
	p := itemPaths{}
	for _, part := range []struct {
		name  string
		items Items
	}{{"added", n.Added}, {"changed", n.Changed}} {
		addPaths(p, part.name, "models", part.items.Models, Model.Key)
		addPaths(p, part.name, "adapters", part.items.Adapters, adapterName)
		addPaths(p, part.name, "backend_servers", part.items.BackendServers, serverName)
		addPaths(p, part.name, "services", part.items.Services, serviceName)
		addPaths(p, part.name, "providers", part.items.Providers, providerName)
	}
	// Withdrawing items of other sections can not break a reference.
	identity := func(s string) string { return s }
	addPaths(p, "withdrawn", "models", n.Withdrawn.Models, identity)
	addPaths(p, "withdrawn", "services", n.Withdrawn.Services, identity)
	return p
}

func addPaths[T any](p itemPaths, part, section string, items []T, key func(T) string) {
	for i, item := range items {
		p[section+" "+key(item)] = itemPath(part, section, i)
	}
}

// first returns the path of the first of items that the note names, or "".
func (p itemPaths) first(items ...string) string {
	for _, item := range items {
		if at, ok := p[item]; ok {
			return at
		}
	}
	return ""
}

// checkAdapters verifies that the base models of adapters exist and that no adapter has
// the name or key of a model.
func (r *referenceChecker) checkAdapters() {
	for _, a := range r.state.Adapters() {
		if _, ok := r.state.models[a.Model]; !ok {
			at := r.paths.first("adapters "+a.Name, "models "+a.Model)
			r.problems.Add(at, "add the model or withdraw the adapter", "adapter %q has the base model %q, which does not exist", a.Name, a.Model)
		}
		for _, m := range r.state.models {
			if m.Name == a.Name || m.Key() == a.Name {
				r.problems.Add(r.paths.first("adapters "+a.Name, "models "+m.Key()), "choose another name", "adapter %q has the name of a model", a.Name)
				break
			}
		}
	}
}

// checkServers verifies that the models and services of servers exist and that agent
// addresses are unique.
func (r *referenceChecker) checkServers() {
	agents := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(r.state.servers)) {
		s := r.state.servers[name]
		for _, m := range s.Models {
			if _, ok := r.state.models[m]; !ok {
				at := r.paths.first("backend_servers "+name, "models "+m)
				r.problems.Add(at, "add the model or change the server", "backend server %q lists model %q, which does not exist", name, m)
			}
		}
		if _, ok := r.state.services[s.Service]; s.Role == RoleService && !ok {
			at := r.paths.first("backend_servers "+name, "services "+s.Service)
			r.problems.Add(at, "add the service or withdraw the server", "backend server %q lists service %q, which does not exist", name, s.Service)
		}
		if other, ok := agents[s.Agent]; ok {
			at := r.paths.first("backend_servers "+name, "backend_servers "+other)
			r.problems.Add(at, "give each agent its own address", "backend servers %q and %q share the agent address %s", other, name, s.Agent)
		}
		agents[s.Agent] = name
	}
}

// checkServices verifies that no two services share a path prefix.
func (r *referenceChecker) checkServices() {
	prefixes := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(r.state.services)) {
		prefix := r.state.services[name].Prefix
		if other, ok := prefixes[prefix]; ok {
			r.problems.Add(r.paths.first("services "+name, "services "+other), "choose another prefix", "services %q and %q share the prefix %s", other, name, prefix)
		}
		prefixes[prefix] = name
	}
}

// checkProviderKeys verifies that no two providers share a key.
func (r *referenceChecker) checkProviderKeys() {
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(r.state.providers)) {
		for _, k := range r.state.providers[name].KeyDigests {
			if other, ok := owner[k]; ok && other != name {
				r.problems.Add(r.paths.first("providers "+name, "providers "+other), "issue separate keys", "providers %q and %q share a key digest", other, name)
			}
			owner[k] = name
		}
	}
}

// checkDefaultVersions verifies that no model has two default versions.
func (r *referenceChecker) checkDefaultVersions() {
	defaults := map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(r.state.models)) {
		m := r.state.models[key]
		if !m.Default {
			continue
		}
		if other, ok := defaults[m.Name]; ok {
			r.problems.Add(r.paths.first("models "+key, "models "+other), "keep one of them", "%s and %s are both the default version", other, key)
		}
		defaults[m.Name] = key
	}
}
