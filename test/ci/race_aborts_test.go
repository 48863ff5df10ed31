package ci

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const crashed = "github.com/samphirestream/samphirestream/internal/origin"

// addresses returns addresses of functions of the crashed package's test binary by patterns
// of their names.
func addresses(t *testing.T, patterns ...string) []string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "test")
	if out, err := exec.Command("go", "test", "-race", "-c", "-o", binary, crashed).CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	names, err := exec.Command("go", "tool", "nm", binary).Output()
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, p := range patterns {
		m := regexp.MustCompile(`(?m)^ *([0-9a-f]+) T ` + p).FindStringSubmatch(string(names))
		if m == nil {
			t.Fatalf("no function like %s", p)
		}
		found = append(found, "0x"+m[1])
	}
	return found
}

// TestOnlyAbortsOfTheRaceDetectorAreTriedAgain writes logs of crashes.
func TestOnlyAbortsOfTheRaceDetectorAreTriedAgain(t *testing.T) {
	at := addresses(t, `_ZN6__tsan8SlotLock`, `runtime\.main$`)
	detector, product := at[0], at[1]
	crash := func(pc, frame string) string {
		return fmt.Sprintf("SIGSEGV: segmentation violation\nPC=%s m=3 sigcode=1 addr=0x0\n\ngoroutine 0 gp=0x1 [idle, synctest bubble 1]:\n\n"+
			"goroutine 47 gp=0x2 [running, synctest bubble 1]:\nruntime.systemstack_switch()\n\tasm_amd64.s:516 +0x8\n%s\n\ttime.go:1465 +0xed\n", pc, frame)
	}
	const timer = "runtime.(*timer).maybeRunChan(0x1, 0x2)"
	for name, tc := range map[string]struct {
		log     string
		aborted bool
	}{
		"check":                       {`ThreadSanitizer: CHECK failed: tsan_rtl.cpp:282 "x"` + "\n", true},
		"detector, from a timer":      {crash(detector, timer), true},
		"detector, from elsewhere":    {crash(detector, "main.f(0x1)"), false},
		"not in the detector":         {crash(product, timer), false},
		"nil pointer of the product":  {"panic: runtime error\n[signal SIGSEGV: segmentation violation code=0x1 addr=0x0 pc=" + detector + "]\n", false},
		"failed test":                 {"--- FAIL: TestX (0.00s)\n", false},
		"timer frame of another line": {crash(detector, "main.f(0x1)") + timer + "\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := filepath.Join(t.TempDir(), "log")
			text := "ok  \tother\t1.0s\n" + tc.log + "FAIL\t" + crashed + "\t1.0s\nok  \tmore\t1.0s\nFAIL\n"
			is.NoErr(os.WriteFile(log, []byte(text), 0o600))
			out, err := exec.Command("../../.ci/race-aborts", log).Output()
			is.NoErr(err)
			is.Equal(strings.TrimSpace(string(out)) == crashed, tc.aborted)
		})
	}
}
