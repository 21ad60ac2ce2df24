package affinity

import (
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// LoadLifetime is how long a reported load is remembered.
const LoadLifetime = 2 * time.Second

// LeavingLifetime is how long an upstream that said that it leaves, or could
// not be reached, is left out. A later report from it ends this at once.
const LeavingLifetime = 5 * time.Second

// Report is what an answer of a sidecar said of its upstream.
type Report struct {
	Upstream ident.UpstreamID
	Load     int
	// Leaving says that the upstream takes no new work, or was not reached.
	Leaving bool
	SeenAt  time.Time
}

// Loads remembers the newest report of each upstream. It is only a hint: a
// wrong one costs a refused try. The zero value is empty and ready, and a nil
// *Loads remembers nothing. It is safe for concurrent use.
type Loads struct {
	mutex   sync.RWMutex
	reports map[ident.UpstreamID]Report
	// recent holds the latest reports, and next is the place of the next one.
	recent [recentReports]Report
	next   int
}

// recentReports is the most reports that Recent returns.
const recentReports = 8

// Recent appends to reports the latest reports of different upstreams that are
// not older than lifetime and do not leave. Presented to the next sidecar that
// a request is offered to, they show it a ramp that its own samples miss.
func (loads *Loads) Recent(now time.Time, lifetime time.Duration, reports []Report) []Report {
	loads.mutex.RLock()
	defer loads.mutex.RUnlock()
	for _, report := range loads.recent {
		if report.Upstream == "" || report.Leaving || now.After(report.SeenAt.Add(lifetime)) {
			continue
		}
		reports = append(reports, report)
	}
	return reports
}

// remember puts report among the recent ones, in the place of an older one of
// the same upstream if there is one.
func (loads *Loads) remember(report Report) {
	for i := range loads.recent {
		if loads.recent[i].Upstream == report.Upstream {
			loads.recent[i] = report
			return
		}
	}
	loads.recent[loads.next] = report
	loads.next = (loads.next + 1) % recentReports
}

// Add takes in a report unless a newer one is held.
func (loads *Loads) Add(report Report) {
	loads.mutex.Lock()
	defer loads.mutex.Unlock()
	if loads.reports == nil {
		loads.reports = make(map[ident.UpstreamID]Report)
	}
	if report.SeenAt.Before(loads.reports[report.Upstream].SeenAt) {
		return
	}
	loads.reports[report.Upstream] = report
	loads.remember(report)
}

// Forget drops the reports that are no longer of use at the time now.
func (loads *Loads) Forget(now time.Time) {
	loads.mutex.Lock()
	defer loads.mutex.Unlock()
	for upstream, report := range loads.reports {
		if now.After(report.SeenAt.Add(LeavingLifetime)) {
			delete(loads.reports, upstream)
		}
	}
}

func (loads *Loads) get(upstream ident.UpstreamID) (Report, bool) {
	if loads == nil {
		return Report{}, false
	}
	loads.mutex.RLock()
	defer loads.mutex.RUnlock()
	report, found := loads.reports[upstream]
	return report, found
}

func (loads *Loads) load(now time.Time, upstream ident.UpstreamID) (int, bool) {
	report, found := loads.get(upstream)
	return report.Load, found && !now.After(report.SeenAt.Add(LoadLifetime))
}

func (loads *Loads) leaving(now time.Time, upstream ident.UpstreamID) bool {
	report, found := loads.get(upstream)
	return found && report.Leaving && !now.After(report.SeenAt.Add(LeavingLifetime))
}
