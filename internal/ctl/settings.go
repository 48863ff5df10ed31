package ctl

import (
	"context"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirestream/samphirestream/internal/settings"
	"github.com/samphirestream/samphirestream/internal/strictyaml"
	"github.com/samphirestream/samphirestream/platform"
)

const settingsCheckHelp = `Checks settings files of samphired. Each problem is named with file, line, key and
remedy. With -platform the files are those of samphired -platform, whose first
problem is named with file, field and remedy.

EXAMPLES
  samphirectl settings check agent-7.yaml
  samphirectl settings check -platform node.toml
  samphirectl settings check -json entry-*.yaml

EXIT CODES
  0 valid, 1 a file can not be read, 2 wrong usage, 3 invalid`

// settingsResult is the result for one settings file.
type settingsResult struct {
	File       string              `json:"file"`
	Valid      bool                `json:"valid"`
	Role       string              `json:"role,omitempty"`
	Node       string              `json:"node,omitempty"`
	DataCentre string              `json:"data_centre,omitempty"`
	Problems   strictyaml.Problems `json:"problems,omitempty"`
}

func (p *printer) settingsCommand() *ffcli.Command {
	fs := p.flags("samphirectl settings check")
	asJSON := jsonFlag(fs)
	onPlatform := fs.Bool("platform", false, "check settings files of samphired -platform")
	check := p.command("check", "samphirectl settings check [-json] [-platform] FILE...", "check settings files", settingsCheckHelp, fs,
		func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return usagef("no file: give settings files")
			}
			read := readSettings
			if *onPlatform {
				read = readPlatformSettings
			}
			return p.checkSettings(args, read, *asJSON)
		})
	return p.group("settings", "samphirectl settings check [flags] FILE...", "check the settings of processes",
		"The keys of settings are in docs/OPERATIONS.md.", check)
}

// readSettings checks a settings file. Problems of the file are in the result; the
// error means that the check could not be made.
func readSettings(file string) (settingsResult, error) {
	s, err := settings.Load(file)
	if err != nil {
		return invalidSettings(file, err)
	}
	return settingsResult{File: file, Valid: true, Role: s.Role, Node: s.Node, DataCentre: s.DataCentre}, nil
}

// readPlatformSettings is readSettings for a settings file of samphired -platform.
func readPlatformSettings(file string) (settingsResult, error) {
	s, err := platform.ReadSettings(file)
	if err != nil {
		return invalidSettings(file, err)
	}
	return settingsResult{File: file, Valid: true, Role: settings.RoleEntry, Node: s.Node, DataCentre: s.DataCentre}, nil
}

// invalidSettings returns the result for a file with problems, or err if it does not
// contain any.
func invalidSettings(file string, err error) (settingsResult, error) {
	problems, ok := strictyaml.ProblemsOf(err)
	if !ok {
		return settingsResult{}, errors.Trace(err)
	}
	return settingsResult{File: file, Problems: problems}, nil
}

func (p *printer) checkSettings(files []string, read func(string) (settingsResult, error), asJSON bool) error {
	var results []settingsResult
	var all strictyaml.Problems
	for _, file := range files {
		if _, err := os.Stat(file); err != nil {
			return errors.Annotate(err, "reading settings")
		}
		result, err := read(file)
		if err != nil {
			return err
		}
		all = append(all, result.Problems...)
		results = append(results, result)
	}
	if asJSON {
		if err := p.writeJSON(results); err != nil {
			return err
		}
	} else {
		p.showSettings(results)
	}
	if len(all) > 0 {
		return errors.WithType(all, errInvalid)
	}
	return nil
}

func (p *printer) showSettings(results []settingsResult) {
	for _, r := range results {
		if r.Valid {
			p.printf("valid: %s: %s %s in %s\n", r.File, r.Role, r.Node, r.DataCentre)
		}
	}
}
