package release

// Content returns all items of the fleet, each kind ordered by key.
func (f *Fold) Content() Content { return f.content() }

// Services returns all plain services, ordered by name. The result is shared
// and must not be modified.
func (f *Fold) Services() []Service { return f.index.services }

// Names returns the keys of the items.
func (c Content) Names() Names {
	return Names{
		Models:         keys(c.Models, Model.Key),
		Adapters:       keys(c.Adapters, adapterName),
		BackendServers: keys(c.BackendServers, serverName),
		Services:       keys(c.Services, serviceName),
		Providers:      keys(c.Providers, providerName),
	}
}

func keys[T any](items []T, key func(T) string) []string {
	out := make([]string, 0, len(items))
	for _, item := range items {
		out = append(out, key(item))
	}
	return out
}
