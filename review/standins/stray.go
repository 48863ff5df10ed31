package main

import "time"

// Dose of the additional bytes: 3 answers in 100, for extraTime at a time.
const (
	extraEvery = 34
	extraTime  = 5 * time.Second
)

// strayRefusal sends payments to a ledger of three servers. One of them sends additional bytes
// after a few of its answers, late.
func strayRefusal(f *fleet, trouble bool) (bool, error) {
	return f.pay(3, func(i int, o *serverOptions) {
		if trouble && i == 0 {
			o.ExtraEvery, o.Windows = extraEvery, spaced(4, extraTime)
		}
	})
}
