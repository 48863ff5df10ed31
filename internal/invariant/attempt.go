package invariant

import (
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
)

// PhaseImport is the phase of an attempt whose KV cache is being transferred to
// a decode engine.
const PhaseImport = "import"

// acceptedAt returns the time at which the server accepted the attempt. For an
// import that is the creation time of the attempt, whose ID begins with a ULID.
func (w *workRecord) acceptedAt() time.Time {
	if w.held.Work.Phase != PhaseImport {
		return w.held.At
	}
	prefix, _, _ := strings.Cut(w.held.Work.Attempt, ".")
	id, err := ulid.ParseStrict(prefix)
	if err != nil {
		return w.held.At
	}
	return ulid.Time(id.Time())
}
