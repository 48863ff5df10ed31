package release

// Items returns all items of the fleet, each kind ordered by key.
func (state *FleetState) Items() Items { return state.items() }

// Services returns all plain services, ordered by name. The result is shared
// and must not be modified.
func (state *FleetState) Services() []Service { return state.index.services }

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
