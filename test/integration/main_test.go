// Package integration runs entries, agents and stand-ins as separate processes
// behind fault-injecting proxies. At the end of a test, package invariant checks
// the events that were recorded.
package integration

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
)

// Paths of the programs, which TestMain builds once for all tests.
var (
	samphired string
	standins  string
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard) // toxiproxy logs each connection
	dir, err := os.MkdirTemp("", "samphire-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	samphired, standins = filepath.Join(dir, "samphired"), filepath.Join(dir, "standins")
	code := 1
	if build(samphired, "../../cmd/samphired") && build(standins, "./standins") {
		code = m.Run()
		printTotals()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(out, pkg string) bool {
	cmd := exec.Command("go", "build", "-o", out, pkg)
	cmd.Stdout, cmd.Stderr = os.Stderr, os.Stderr
	return cmd.Run() == nil
}
