package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirestream/samphirestream/internal/release"
)

// Bounds on the wait for a slot in the download order of the weight store.
const (
	// defaultDownloadTime is the length of a slot when the rate of the store or the
	// size of the weights is unknown.
	defaultDownloadTime = 2 * time.Second
	// maxSlotWait bounds the wait for a load that a release note added.
	maxSlotWait = 10 * time.Minute
	// recoveryFullWait is the longest wait that is kept in full when weights are
	// missing for another reason than a release note, so that the number of
	// servers that load is unknown. Longer waits are compressed into the same time
	// again.
	recoveryFullWait = 20 * time.Second
)

// download is one load of a model at a server.
type download struct {
	server string
	model  release.Model
	hash   uint64 // of model and server, for rendezvous hashing
}

// downloadOrder lists the loads of a data centre that the filter accepts, in the
// order in which the weights are to be downloaded. Every agent computes the same
// list without communication: the first replica of each model, then the second of
// each, and so on, with the servers of a model ranked by rendezvous hashing (Thaler
// and Ravishankar, 1998).
func downloadOrder(fleet *release.FleetState, dataCentre string, accept func(server, model string) bool) []download {
	byModel := map[string][]download{}
	for _, s := range fleet.Servers() {
		if s.DataCentre != dataCentre {
			continue
		}
		for _, key := range s.Models {
			if m, ok := fleet.Model(key); ok && accept(s.Name, key) {
				byModel[key] = append(byModel[key], download{s.Name, m, xxhash.Sum64String(key + "\x00" + s.Name)})
			}
		}
	}
	type ranked struct {
		download
		rank int
	}
	var all []ranked
	for _, list := range byModel {
		slices.SortFunc(list, func(a, b download) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.server, b.server)) })
		for i, d := range list {
			all = append(all, ranked{d, i})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash), cmp.Compare(a.server, b.server))
	})
	out := make([]download, len(all))
	for i, r := range all {
		out[i] = r.download
	}
	return out
}

// downloadSlot returns how long a server waits before it loads a model, and how
// long the load takes at rate, the full rate of the store in bytes per second. The
// wait is the sum of the download times of the loads before it in the list.
func downloadSlot(list []download, server, model string, rate float64) (wait, length time.Duration) {
	for _, d := range list {
		length = downloadTime(d.model, rate)
		if d.server == server && d.model.Key() == model {
			return wait, length
		}
		wait += length
	}
	return 0, defaultDownloadTime
}

// downloadTime returns the time to download the weights of a model at rate, in
// bytes per second.
func downloadTime(m release.Model, rate float64) time.Duration {
	if rate <= 0 || m.WeightsBytes <= 0 {
		return defaultDownloadTime
	}
	return time.Duration(float64(m.WeightsBytes) / rate * float64(time.Second))
}

// compressWait shortens a wait when the number of servers that load is unknown.
// Waits up to fullWait stay, so that the first servers of the list are ready soon if
// the whole data centre loads. Longer ones are mapped, by their place in the list,
// to the time between fullWait and twice fullWait, so that a server that loads alone
// does not wait for servers that load nothing.
func compressWait(wait time.Duration, list []download, rate float64, fullWait time.Duration) time.Duration {
	if wait <= fullWait {
		return wait
	}
	var total time.Duration
	for _, d := range list {
		total += downloadTime(d.model, rate)
	}
	rest := float64(wait-fullWait) / float64(total-fullWait)
	return fullWait + min(wait-fullWait, time.Duration(rest*float64(fullWait)))
}
