package affinity

import (
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// LoadLifetime is how long a reported load is used to order a plan.
const LoadLifetime = 2 * time.Second

// LeavingLifetime is how long an upstream is excluded from plans after it
// reported that it is leaving or could not be reached. A later report from it
// ends the exclusion at once.
const LeavingLifetime = 5 * time.Second

// Report is the state of an upstream as a sidecar's response gave it.
type Report struct {
	Upstream ident.UpstreamID
	Load     int
	// Leaving says that the upstream accepts no new work or could not be
	// reached.
	Leaving bool
	SeenAt  time.Time
}

// Loads holds the newest report of each upstream. It is only a hint: a wrong
// report costs a refused try. The zero value is empty and ready to use.
// Plan.Next accepts a nil *Loads and treats it as empty. It is safe for
// concurrent use.
type Loads struct {
	mutex   sync.RWMutex
	reports map[ident.UpstreamID]Report
	// recent is a ring buffer of the latest reports of different upstreams, and
	// next is the index to write next.
	recent [maxRecentReports]Report
	next   int
}

// maxRecentReports is the maximum number of reports that Recent returns.
const maxRecentReports = 8

// Recent appends to reports the latest reports of different upstreams that are
// not older than lifetime and not leaving. Sent to the next sidecar with a
// refused request, they show a rise in load that its own samples do not show
// yet.
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

// addRecent records report in the ring buffer. It overwrites an older report of
// the same upstream, if there is one.
func (loads *Loads) addRecent(report Report) {
	for i := range loads.recent {
		if loads.recent[i].Upstream == report.Upstream {
			loads.recent[i] = report
			return
		}
	}
	loads.recent[loads.next] = report
	loads.next = (loads.next + 1) % maxRecentReports
}

// Add records report unless a newer one of the same upstream is recorded.
func (loads *Loads) Add(report Report) {
	loads.mutex.Lock()
	defer loads.mutex.Unlock()
	if loads.reports == nil {
		loads.reports = make(map[ident.UpstreamID]Report)
	}
	last, known := loads.reports[report.Upstream]
	if report.SeenAt.Before(last.SeenAt) {
		return
	}
	if !known {
		loads.dropExpired(report.SeenAt)
	}
	loads.reports[report.Upstream] = report
	loads.addRecent(report)
}

// dropExpired removes the reports that are older than LeavingLifetime at the time
// now. The caller holds the mutex.
func (loads *Loads) dropExpired(now time.Time) {
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

// load returns the load of upstream and whether it was reported within
// LoadLifetime.
func (loads *Loads) load(now time.Time, upstream ident.UpstreamID) (int, bool) {
	report, found := loads.get(upstream)
	return report.Load, found && !now.After(report.SeenAt.Add(LoadLifetime))
}

// leaving reports whether upstream is excluded from plans.
func (loads *Loads) leaving(now time.Time, upstream ident.UpstreamID) bool {
	report, found := loads.get(upstream)
	return found && report.Leaving && !now.After(report.SeenAt.Add(LeavingLifetime))
}
