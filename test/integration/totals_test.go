package integration

import (
	"fmt"
	"sync"

	"github.com/samphirestream/samphirestream/internal/invariant"
)

// totals counts the cases and violations of each invariant over all tests.
var totals struct {
	sync.Mutex
	fleets     int
	cases      map[invariant.Invariant]int
	violations map[invariant.Invariant]int
}

func addToTotals(verdicts []invariant.Verdict) {
	totals.Lock()
	defer totals.Unlock()
	if totals.cases == nil {
		totals.cases, totals.violations = map[invariant.Invariant]int{}, map[invariant.Invariant]int{}
	}
	totals.fleets++
	for _, v := range verdicts {
		totals.cases[v.Invariant] += v.Cases
		totals.violations[v.Invariant] += len(v.Violations)
	}
}

// printTotals prints the totals of all tests.
func printTotals() {
	totals.Lock()
	defer totals.Unlock()
	fmt.Printf("histories checked: %d\n", totals.fleets)
	for _, v := range invariant.Check(nil, expectedAnswer) {
		fmt.Printf("%6d cases, %d violations: %s\n", totals.cases[v.Invariant], totals.violations[v.Invariant], v.Invariant)
	}
}
