package advisory

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Headers are the names under which servers of one kind say something of themselves.
type Headers struct {
	// Limit holds the requests a second that the server takes from all entries.
	Limit string
	// Leaving is "1" when the server leaves.
	Leaving string
	// Software holds the version of the server's software; "" where answers do not name it.
	Software string
}

// headerRetryAfter is, with status 503, the time in seconds for which the server wants
// nothing.
const headerRetryAfter = "Retry-After"

// maxRetryAfter bounds the time for which a server is left alone. A longer one is taken for
// a mistake of the server.
const maxRetryAfter = 5 * time.Minute

// Parse reads what an answer says of its server. The error names the headers that are not
// understood; the others are read all the same.
func (h Headers) Parse(status int, header http.Header) (Notice, error) {
	n := Notice{Leaving: header.Get(h.Leaving) == "1"}
	if h.Software != "" {
		n.Software = header.Get(h.Software)
	}
	var wrong []string
	number := func(name string) (v float64, ok bool) {
		text := header.Get(name)
		if text == "" {
			return 0, false
		}
		v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(v) || v < 0 {
			wrong = append(wrong, name+" "+strconv.Quote(text))
			return 0, false
		}
		return v, true
	}
	if limit, ok := number(h.Limit); ok {
		n.Limit = &limit
	}
	if status == http.StatusServiceUnavailable {
		if seconds, ok := number(headerRetryAfter); ok {
			n.RetryAfter = time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
		}
	}
	if len(wrong) > 0 {
		return n, errors.NotValidf("header %s", strings.Join(wrong, ", "))
	}
	return n, nil
}
