package metrics

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// prefix starts the names of all metrics.
const prefix = "samphirestream_"

// contentType is the media type of the Prometheus text format, version 0.0.4.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// Handler serves all metrics of the process in the text format of Prometheus.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		WriteText(w)
	})
}

// series holds the type and the sample lines of one metric in all sets.
type series struct {
	kind  string
	lines strings.Builder
}

// text collects series by metric name.
type text map[string]*series

// WriteText writes all metrics. Gauges that are not numbers are skipped; they are
// only in /debug/vars.
func WriteText(w io.Writer) {
	all := text{}
	root.Do(func(set expvar.KeyValue) {
		vars, ok := set.Value.(*expvar.Map)
		if !ok {
			return
		}
		vars.Do(func(kv expvar.KeyValue) {
			all.add(prefix+metricName(kv.Key), label("set", set.Key), kv.Value)
		})
	})
	for _, name := range slices.Sorted(maps.Keys(all)) {
		_, _ = fmt.Fprintf(w, "# TYPE %s %s\n%s", name, all[name].kind, &all[name].lines)
	}
}

// Labelled is the value of a gauge with labels, by the text of Labels.
type Labelled map[string]int64

// Labels returns the text of label names and values, which alternate in pairs.
func Labels(pairs ...string) string {
	var out []string
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, label(pairs[i], pairs[i+1]))
	}
	return strings.Join(out, ",")
}

// lines returns the writer for the sample lines of a metric.
func (t text) lines(name, kind string) io.Writer {
	if t[name] == nil {
		t[name] = &series{kind: kind}
	}
	return &t[name].lines
}

func (t text) add(name, labels string, v expvar.Var) {
	switch v := v.(type) {
	case *expvar.Int:
		_, _ = fmt.Fprintf(t.lines(name, "counter"), "%s{%s} %d\n", name, labels, v.Value())
	case expvar.Func:
		if labelled, ok := v.Value().(Labelled); ok {
			for _, extra := range slices.Sorted(maps.Keys(labelled)) {
				_, _ = fmt.Fprintf(t.lines(name, "gauge"), "%s{%s,%s} %d\n", name, labels, extra, labelled[extra])
			}
			return
		}
		if value := fmt.Sprint(v.Value()); isNumber(value) {
			_, _ = fmt.Fprintf(t.lines(name, "gauge"), "%s{%s} %s\n", name, labels, value)
		}
	case *Histogram:
		v.writeText(t.lines(name, "histogram"), name, labels)
	case *Family:
		w := t.lines(name, "histogram")
		v.each(func(extra string, h *Histogram) { h.writeText(w, name, labels+","+extra) })
	}
}

// writeText writes the buckets, sum and count of a histogram. Bounds and sum are in
// milliseconds, in keeping with metric names that end in _ms.
func (h *Histogram) writeText(w io.Writer, name, labels string) {
	total := h.cumulative("+Inf", func(bound string, count int64) {
		_, _ = fmt.Fprintf(w, "%s_bucket{%s,%s} %d\n", name, labels, label("le", bound), count)
	})
	_, _ = fmt.Fprintf(w, "%s_sum{%s} %d\n%s_count{%s} %d\n", name, labels, h.sumMillis(), name, labels, total)
}

func isNumber(text string) bool {
	_, err := strconv.ParseFloat(text, 64)
	return err == nil
}

var invalidNameChars = regexp.MustCompile(`[^a-zA-Z0-9_]`)

func metricName(key string) string { return invalidNameChars.ReplaceAllString(key, "_") }

// labelEscapes escapes label values as the text format requires.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func label(name, value string) string { return name + `="` + labelEscapes.Replace(value) + `"` }
