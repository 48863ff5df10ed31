package router

import "github.com/samphirestream/samphirestream/internal/apierror"

// Refusals that requests get and that Where reports, without the advised delay.

func refuseStarting() *apierror.Error {
	return apierror.NotRun(apierror.KindStarting, "no configuration is known yet", "retry after the delay")
}

func refuseNoRoute(c *Call) *apierror.Error {
	return apierror.NotRun(apierror.KindNotFound, "no route matches "+c.Host+c.Path, "use a route of the configuration")
}

func refuseOverQuota() *apierror.Error {
	return apierror.NotRun(apierror.KindQuotaExceeded, "the quota of the organisation is used up", "retry after the delay")
}

func (x *exchange) refuseBacklog() *apierror.Error {
	return apierror.NotRun(apierror.KindOverloaded, "all servers of "+x.service+" have a backlog beyond the target", "retry after the delay")
}
