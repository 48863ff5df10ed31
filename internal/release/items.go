package release

// Items returns all items of the fleet, each kind ordered by key.
func (f *Fold) Items() Items { return f.items() }

// Services returns all plain services, ordered by name. The result is shared
// and must not be modified.
func (f *Fold) Services() []Service { return f.index.services }

// Keys returns the keys of the items.
func (items Items) Keys() ItemKeys {
	return ItemKeys{
		Models:         keys(items.Models, Model.Key),
		Adapters:       keys(items.Adapters, adapterName),
		BackendServers: keys(items.BackendServers, serverName),
		Services:       keys(items.Services, serviceName),
		Providers:      keys(items.Providers, providerName),
	}
}

func keys[T any](items []T, key func(T) string) []string {
	out := make([]string, 0, len(items))
	for _, item := range items {
		out = append(out, key(item))
	}
	return out
}
