package overload

import (
	"math"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// recentTime and usualTime are the time constants of the rates at which a workspace
	// sends now and usually.
	recentTime = 3 * time.Second
	usualTime  = time.Minute
	// minUsualTime is how long rates are observed before they count as usual.
	minUsualTime = 20 * time.Second
	// excessFactor is by how much more than the others a workspace has grown when it
	// sends more than its usual, and excessDeviations by how many standard deviations:
	// the counts of one router are a small sample.
	excessFactor     = 1.25
	excessDeviations = 1
	// minUsualShare is the part of the mean of all workspaces that each one is assumed to
	// send usually, at least.
	minUsualShare = 0.2
	// maxWorkspaces limits the workspaces that are counted.
	maxWorkspaces = 4096
)

// decayingCount is a count whose parts lose their weight with time.
type decayingCount struct {
	value float64
	at    time.Time
}

func (count *decayingCount) get(now time.Time, constant time.Duration) float64 {
	if now.After(count.at) {
		count.value *= math.Exp(-float64(now.Sub(count.at)) / float64(constant))
		count.at = now
	}
	return count.value
}

func (count *decayingCount) add(now time.Time, constant time.Duration) {
	count.get(now, constant)
	count.value++
}

// arrivals counts the requests of one workspace, or of all.
type arrivals struct {
	recent, usual decayingCount
}

// fairness compares what workspaces send with what they send usually. What this router
// sees is a sample of what the workspace sends to all: it doesn't show a workspace that
// grew at other routers only, or one of which this router gets few requests.
type fairness struct {
	total      arrivals
	workspaces map[ident.WorkspaceID]*arrivals
	// observed is for how long usual rates have been observed, up to observedAt.
	observed   time.Duration
	observedAt time.Time
}

// count counts a request. The usual rates stay as they are in a shortage.
func (fairness *fairness) count(now time.Time, workspace ident.WorkspaceID, shortage bool) {
	if fairness.workspaces == nil {
		fairness.workspaces = make(map[ident.WorkspaceID]*arrivals)
	}
	counts := fairness.workspaces[workspace]
	if counts == nil {
		if len(fairness.workspaces) >= maxWorkspaces {
			clear(fairness.workspaces)
			fairness.total, fairness.observed = arrivals{}, 0
		}
		counts = new(arrivals)
		fairness.workspaces[workspace] = counts
	}
	elapsed := now.Sub(fairness.observedAt)
	fairness.observedAt = now
	for _, counted := range []*arrivals{&fairness.total, counts} {
		counted.recent.add(now, recentTime)
		if !shortage {
			counted.usual.add(now, usualTime)
		}
	}
	if !shortage && elapsed < usualTime {
		fairness.observed += elapsed
	}
}

// excess returns which share of the requests of a workspace exceeds what it would send
// if it had grown as much as the others. The usual counts of all decay alike, so that
// their ratio stays.
func (fairness *fairness) excess(now time.Time, workspace ident.WorkspaceID) float64 {
	counts := fairness.workspaces[workspace]
	if counts == nil || fairness.observed < minUsualTime || len(fairness.workspaces) < 2 {
		return 0
	}
	recent := counts.recent.get(now, recentTime)
	usual := counts.usual.get(now, usualTime)
	totalUsual := fairness.total.usual.get(now, usualTime)
	otherRecent := max(fairness.total.recent.get(now, recentTime)-recent, 0)
	otherUsual := totalUsual - usual
	if otherUsual <= 0 {
		return 0
	}
	usual = max(usual, minUsualShare*totalUsual/float64(len(fairness.workspaces)))
	expected := otherRecent * usual / otherUsual
	if recent <= excessFactor*expected+excessDeviations*math.Sqrt(expected+1) {
		return 0
	}
	return 1 - expected/recent
}
