package router

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirestream/samphirestream/internal/directory"
)

func TestShiftGoesFromIdleToBusyStage(t *testing.T) {
	for name, tc := range map[string]struct {
		prefill, decode stageLoad
		from            directory.Stage
		ok              bool
	}{
		"decode memory full, prefill idle":    {stageLoad{16, 0.25}, stageLoad{28, 0.9}, directory.Prefill, true},
		"prefill full, decode idle":           {stageLoad{10, 0.9}, stageLoad{28, 0.3}, directory.Decode, true},
		"balanced":                            {stageLoad{11, 0.6}, stageLoad{33, 0.8}, directory.Plain, false},
		"little load":                         {stageLoad{16, 0.02}, stageLoad{28, 0.2}, directory.Plain, false},
		"the minimum share is kept":           {stageLoad{9, 0.1}, stageLoad{35, 1}, directory.Plain, false},
		"the minimum number is kept":          {stageLoad{2, 0.1}, stageLoad{3, 1}, directory.Plain, false},
		"would be reversed by the next shift": {stageLoad{3, 0.5}, stageLoad{4, 0.92}, directory.Plain, false},
		"few idle servers would queue":        {stageLoad{3, 0.3}, stageLoad{6, 0.6}, directory.Plain, false},
		"few idle servers, almost unused":     {stageLoad{3, 0.15}, stageLoad{6, 0.6}, directory.Prefill, true},
		"no server of the busy stage":         {stageLoad{5, 0}, stageLoad{0, 1}, directory.Plain, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			from, ok := shift(tc.prefill, tc.decode)
			is.Equal(ok, tc.ok)
			is.Equal(from, tc.from)
		})
	}
}
