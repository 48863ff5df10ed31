package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

// revokeTime is the time after which a withdrawn key must run no request at any entry: the
// setting bounds.revoke_ms.
const revokeTime = 5 * time.Second

// organisations are those of the configuration. Each has a permanent key and one that each
// version of the configuration replaces.
var organisations = []string{"north", "south"}

func permanentKey(organisation string) string { return organisation + "-permanent" }

// keyring has the keys of the organisations.
type keyring struct {
	mu        sync.Mutex
	current   map[string]string    // the replaced key, by organisation
	withdrawn map[string]time.Time // the time at which the store had the version without a key
	owners    map[string]string
	// older is set once the store came back from a copy, which may list withdrawn keys.
	older bool
}

// rotate replaces a key of each organisation and returns the former ones.
func (k *keyring) rotate(version int) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current == nil {
		k.current, k.withdrawn, k.owners = map[string]string{}, map[string]time.Time{}, map[string]string{}
	}
	former := slices.Collect(maps.Values(k.current))
	for _, o := range organisations {
		key := fmt.Sprint(o, "-", version)
		k.current[o], k.owners[key] = key, o
	}
	return former
}

func (k *keyring) withdraw(keys []string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, key := range keys {
		k.withdrawn[key] = at
	}
}

func (k *keyring) restored() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.older = true
}

func (k *keyring) byOrganisation() map[string][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := map[string][]string{}
	for o, key := range k.current {
		out[o] = []string{permanentKey(o), key}
	}
	return out
}

// draw returns a key with its organisation: mostly a permanent one, else one that is or was
// replaced.
func (k *keyring) draw(rnd *rand.Rand) (organisation, key string) {
	organisation = organisations[rnd.IntN(len(organisations))]
	if rnd.IntN(4) > 0 {
		return organisation, permanentKey(organisation)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	keys := slices.Sorted(maps.Keys(k.owners))
	key = keys[rnd.IntN(len(keys))]
	return k.owners[key], key
}

// judge returns how requests with keys went against the configuration: permanent keys that were
// refused, withdrawn ones that ran, and organisations that servers got wrong.
func (k *keyring) judge(results []result, h *history) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := slices.Clone(h.foreign)
	for _, r := range results {
		if r.status == http.StatusUnauthorized && r.key == permanentKey(r.organisation) {
			out = append(out, fmt.Sprintf("request %s: a key that was never withdrawn was refused by entry %d", r.id, r.entry))
		}
		at, withdrawn := k.withdrawn[r.key]
		if withdrawn && !k.older && r.sent.Sub(at) > revokeTime && h.runCount(r.id) > 0 {
			out = append(out, fmt.Sprintf("request %s: ran %v after its key %s was withdrawn, at entry %d", r.id, r.sent.Sub(at), r.key, r.entry))
		}
	}
	return out
}

// TestJudgeFindsKeysAgainstTheConfiguration plants what the judge must find.
func TestJudgeFindsKeysAgainstTheConfiguration(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		key    string
		after  time.Duration // since the withdrawal
		status int
		runs   int
		broken bool
	}{
		"served":             {permanentKey("north"), 0, 200, 1, false},
		"refused":            {permanentKey("north"), 0, 401, 0, true},
		"withdrawn, late":    {"north-1", 6 * time.Second, 200, 1, true},
		"withdrawn, in time": {"north-1", 4 * time.Second, 200, 1, false},
		"withdrawn, refused": {"north-1", 6 * time.Second, 401, 0, false},
	} {
		k := keyring{}
		k.withdraw(k.rotate(1), now)
		k.withdraw(k.rotate(2), now)
		h := &history{runs: map[string]int{"r": tc.runs}}
		r := result{id: "r", key: tc.key, organisation: "north", status: tc.status, sent: now.Add(tc.after)}
		if got := len(k.judge([]result{r}, h)) > 0; got != tc.broken {
			t.Errorf("%s: found %v", name, got)
		}
	}
}
