package ctl

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirestream/samphirestream/internal/release"
)

const noteDiffHelp = `Compares the state of the fleet after two release notes. A and B are chains of
files in order, separated by commas; with -service, they are numbers of published
notes. -fold gives the notes that come before both.

EXAMPLES
  samphirectl note diff 1.yaml 1.yaml,2.yaml
  samphirectl note diff -fold 1.yaml,2.yaml 3.yaml other-3.yaml
  samphirectl note diff -service http://10.0.0.2:9000 16 17

EXIT CODES
  0 success, whether there are differences or not, 1 a file or the service can
  not be read, 2 wrong usage, 3 invalid`

// difference is one item that differs between two states.
type difference struct {
	Item   string  `json:"item"`
	Action string  `json:"action"`
	Fields []field `json:"fields,omitempty"`
}

// field is one value of an item that differs.
type field struct {
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func (p *printer) noteDiff() *ffcli.Command {
	fs := p.flags("samphirectl note diff")
	files := fs.String("fold", "", "files with the notes before A and B, in order, separated by commas")
	service := fs.String("service", "", "URL of the configuration service; A and B are numbers")
	asJSON := jsonFlag(fs)
	return p.command("diff", "samphirectl note diff [-fold FILES | -service URL] [-json] A B", "compare the states after two release notes", noteDiffHelp, fs,
		func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usagef("give A and B: chains of files, or numbers with -service")
			}
			var states [2]*release.FleetState
			for i, arg := range args {
				state, err := stateOfArg(ctx, arg, *files, *service)
				if err != nil {
					return errors.Trace(err)
				}
				states[i] = state
			}
			list, err := compare(states[0], states[1])
			if err != nil {
				return errors.Trace(err)
			}
			if *asJSON {
				return p.writeJSON(list)
			}
			p.showDiff(list)
			return nil
		})
}

// stateOfArg returns the state of the fleet that an argument of note diff selects:
// after a chain of files, or with -service after the published note of this number.
func stateOfArg(ctx context.Context, arg, files, service string) (*release.FleetState, error) {
	if service == "" {
		state, err := predecessors(ctx, files, "")
		if err != nil {
			return nil, err
		}
		state, _, err = applyFiles(state, splitFiles(arg))
		return state, err
	}
	number, err := strconv.ParseUint(arg, 10, 64)
	if err != nil || files != "" {
		return nil, usagef("%q with -service: give the number of a published note, and no -fold", arg)
	}
	state, _, err := newPublishedChain(service).state(ctx, number)
	return state, err
}

// compare returns the items that differ, in order of their kinds and names.
func compare(before, after *release.FleetState) ([]difference, error) {
	a, err := itemsOf(before)
	if err != nil {
		return nil, err
	}
	b, err := itemsOf(after)
	if err != nil {
		return nil, err
	}
	names := maps.Clone(a)
	maps.Copy(names, b)
	out := []difference{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		_, was := a[name]
		_, is := b[name]
		switch fields := compareFields(a[name], b[name]); {
		case !was:
			out = append(out, difference{name, "added", fields})
		case !is:
			out = append(out, difference{Item: name, Action: "withdrawn"})
		case len(fields) > 0:
			out = append(out, difference{name, "changed", fields})
		}
	}
	return out, nil
}

// item holds the values of a model, server or the like as YAML, by key.
type item map[string]string

// itemsOf returns all items of a state, by kind and name.
func itemsOf(state *release.FleetState) (map[string]item, error) {
	out := map[string]item{}
	items := state.Items()
	return out, firstError(
		addItems(out, "model ", items.Models, release.Model.Key),
		addItems(out, "adapter ", items.Adapters, func(x release.Adapter) string { return x.Name }),
		addItems(out, "backend_server ", items.BackendServers, func(x release.BackendServer) string { return x.Name }),
		addItems(out, "service ", items.Services, func(x release.Service) string { return x.Name }),
		addItems(out, "provider ", items.Providers, func(x release.Provider) string { return x.Name }),
	)
}

func addItems[T any](out map[string]item, kind string, items []T, key func(T) string) error {
	for _, x := range items {
		values, err := valuesOf(x)
		if err != nil {
			return errors.Trace(err)
		}
		out[kind+key(x)] = values
	}
	return nil
}

// valuesOf returns the values of an item, each as YAML on one line.
func valuesOf(x any) (item, error) {
	raw, err := yaml.Marshal(x)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var ordered yaml.MapSlice
	if err := yaml.Unmarshal(raw, &ordered); err != nil {
		return nil, errors.Trace(err)
	}
	out := item{}
	for _, e := range ordered {
		value, err := yaml.MarshalWithOptions(e.Value, yaml.Flow(true))
		if err != nil {
			return nil, errors.Trace(err)
		}
		key, _ := e.Key.(string)
		out[key] = strings.TrimSpace(string(value))
	}
	return out, nil
}

// compareFields returns the fields that differ, in order of their keys. An absent
// item has no fields.
func compareFields(before, after item) []field {
	keys := maps.Clone(before)
	if keys == nil {
		keys = item{}
	}
	maps.Copy(keys, after)
	var out []field
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if before[key] != after[key] {
			out = append(out, field{key, before[key], after[key]})
		}
	}
	return out
}

func (p *printer) showDiff(list []difference) {
	if len(list) == 0 {
		p.printf("no differences\n")
	}
	for _, d := range list {
		p.printf("%s %s\n", d.Action, d.Item)
		for _, f := range d.Fields {
			if d.Action == "added" {
				p.printf("  %s: %s\n", f.Key, f.After)
				continue
			}
			p.printf("  %s: %s -> %s\n", f.Key, orNone(f.Before), orNone(f.After))
		}
	}
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
