package quota

// Tolerance is by how much organisations may exceed their quotas in some window.
type Tolerance struct {
	// Overage is a fraction of the quota, and Slack a number of units beside it.
	Overage, Slack float64
}

const (
	// overageShare and slackShare are the fractions of the tolerance that the entries grant. A
	// request that is refused below its quota is a loss for its caller, while one that is
	// admitted within the tolerance costs nobody anything. The rest is for what entries that
	// are out of contact use at the same time.
	overageShare = 0.5
	slackShare   = 0.3
)

// Grant returns the limit that the entries enforce for a quota.
func (t Tolerance) Grant(l Limit) Limit {
	if l.Rate <= 0 {
		return l
	}
	factor := 1 + overageShare*t.Overage
	return Limit{Name: l.Name, Rate: factor * l.Rate, Burst: factor*l.Burst + slackShare*t.Slack}
}
