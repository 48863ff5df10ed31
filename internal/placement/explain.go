package placement

import (
	"fmt"
	"strings"
)

// Explained is what a pipeline makes of one server.
type Explained struct {
	// Dropped is the filter that dropped the server; "" if none did. Preference is set if the
	// filter applies only while other servers pass it.
	Dropped    string
	Preference bool
	// Costs are in milliseconds, by scorer.
	Costs map[string]float64
}

// Explain returns what the pipeline makes of each server, without choosing one.
func (p *Pipeline) Explain(r *Request, servers []*Server) []Explained {
	out := make([]Explained, len(servers))
	for i, s := range servers {
		e := Explained{Costs: map[string]float64{}}
		for _, f := range p.Must {
			if e.Dropped == "" && !f.Keep(r, s) {
				e.Dropped = pluginName(f)
			}
		}
		for _, f := range p.Prefer {
			if e.Dropped == "" && !f.Keep(r, s) {
				e.Dropped, e.Preference = pluginName(f), true
			}
		}
		for _, sc := range p.Scorers {
			e.Costs[pluginName(sc)] = sc.Cost(r, s)
		}
		out[i] = e
	}
	return out
}

// pluginName returns the name of the type of a filter or scorer.
func pluginName(plugin any) string {
	name := fmt.Sprintf("%T", plugin)
	return name[strings.LastIndex(name, ".")+1:]
}
