package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	benchTeams      = 20
	benchWorkspaces = 65
	benchChanges    = 30
	// plannedInterval is the time between two changes at 9,600 changes a day.
	plannedInterval = 9 * time.Second
	// fastInterval is the time between two changes at 10 changes a second.
	fastInterval = 100 * time.Millisecond
)

// BenchmarkFleet measures fleets of daemons that run in this process and
// communicate over loopback TCP. While it measures how fast a change spreads,
// the store is down after each commit. Run each size once:
//
//	go test -run '^$' -bench Fleet/100 -benchtime 1x ./peer
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{30, 100, 300} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				measureFleet(b, size)
			}
		})
	}
}

func measureFleet(b *testing.B, size int) {
	before := memoryInUse()
	fleet := newFleet(b)
	fleet.fill()
	fleet.start(size, 3)
	// Opens every link and sends the gob types, so that the measurements do not
	// include them.
	fleet.warm()
	b.ReportMetric(float64(memoryInUse()-before)/float64(size)/1024, "KiB/daemon")
	b.ReportMetric(float64(fleet.openLinks())/float64(size), "links/daemon")
	fleet.measureSpread(b)
	fleet.measureTraffic(b, "rest", 8*time.Second, 0)
	fleet.measureTraffic(b, "planned", 18*time.Second, plannedInterval)
	fleet.measureTraffic(b, "fast", 8*time.Second, fastInterval)
	b.ReportMetric(0, "ns/op")
	fleet.stop()
}

func benchTeam(number int) ident.TeamID { return ident.TeamID(fmt.Sprintf("team-%d", number)) }

// fill commits settings of the size that the system is designed for.
func (fleet *fleet) fill() {
	first := fleet.prepare(3)
	for number := range benchTeams {
		team := benchTeam(number)
		change := settings.Change{ID: "fill", Team: team, Values: make(map[settings.Path]json.RawMessage)}
		for i := range benchWorkspaces {
			path := settings.Path(fmt.Sprintf("/Teams/%s/Workspaces/w%d", team, i))
			change.Values[path] = json.RawMessage(fmt.Sprintf(`{"Weight":%d}`, i+1))
		}
		if _, err := first.store.Accept(context.Background(), change); err != nil {
			fleet.t.Fatal(err)
		}
	}
}

func (fleet *fleet) warm() {
	for round := range 4 {
		waitInForce(fleet.t, fleet.daemons, fleet.daemons[0].accept(benchTeam(round), 50))
		time.Sleep(time.Second)
	}
}

func (fleet *fleet) openLinks() int {
	open := 0
	for _, daemon := range fleet.daemons {
		open += daemon.links.Open()
	}
	return open
}

// measureSpread reports the time from a commit until all daemons have the change
// in force. The store is down from the commit on.
func (fleet *fleet) measureSpread(b *testing.B) {
	var latencies []time.Duration
	for round := range benchChanges {
		origin := fleet.daemons[round*7%len(fleet.daemons)]
		subtree := origin.commit(benchTeam(round%benchTeams), round+100)
		fleet.platform.Switch(standin.PlatformSwitches{Outage: true})
		accepted := time.Now()
		origin.replicator.AdoptCommitted(subtree)
		waitInForce(b, fleet.daemons, subtree)
		latencies = append(latencies, fleet.lastAdoptedAt(subtree).Sub(accepted))
		fleet.platform.Switch(standin.PlatformSwitches{})
		// Longer than the minimum time between two announcements, so that each
		// daemon can announce the next change without delay.
		time.Sleep(600 * time.Millisecond)
	}
	reportSpread(b, "", latencies)
}

func reportSpread(b *testing.B, name string, latencies []time.Duration) {
	slices.Sort(latencies)
	report := func(metric string, value time.Duration) {
		b.ReportMetric(float64(value.Microseconds())/1000, name+metric)
	}
	report("spread-median-ms", latencies[len(latencies)/2])
	report("spread-p99-ms", latencies[len(latencies)*99/100])
	report("spread-max-ms", latencies[len(latencies)-1])
}

// lastAdoptedAt returns when the last daemon adopted subtree or a later revision.
func (fleet *fleet) lastAdoptedAt(subtree *settings.Subtree) time.Time {
	var latest time.Time
	for _, daemon := range fleet.daemons {
		if at := daemon.firstAdoptedAt(subtree); at.After(latest) {
			latest = at
		}
	}
	return latest
}

func (daemon *daemon) firstAdoptedAt(subtree *settings.Subtree) time.Time {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	var first time.Time
	for key, at := range daemon.adopted {
		reached := key.team == subtree.Team && key.revision >= subtree.Revision
		if reached && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// measureTraffic reports the traffic, store reads and CPU time of a daemon while
// a change is accepted every interval; zero means that no change is accepted.
func (fleet *fleet) measureTraffic(b *testing.B, name string, window, interval time.Duration) {
	time.Sleep(time.Second)
	peerBefore, platformBefore := fleet.bytes()
	readsBefore := fleet.platform.Counters().Reads
	cpuBefore := cpuTime()
	start := time.Now()
	var changes []*settings.Subtree
	var acceptedAt []time.Time
	for round := 0; time.Since(start) < window; round++ {
		if interval == 0 {
			time.Sleep(window)
			continue
		}
		due := start.Add(time.Duration(round) * interval)
		time.Sleep(time.Until(due))
		if time.Since(start) < window {
			changes = append(changes, fleet.daemons[round*7%len(fleet.daemons)].accept(benchTeam(round%benchTeams), round+200))
			acceptedAt = append(acceptedAt, time.Now())
		}
	}
	elapsed := time.Since(start).Seconds()
	daemonSeconds := elapsed * float64(len(fleet.daemons))
	peerAfter, platformAfter := fleet.bytes()
	b.ReportMetric(float64(peerAfter-peerBefore)/daemonSeconds, name+"-peer-B/s/daemon")
	b.ReportMetric(float64(platformAfter-platformBefore)/daemonSeconds, name+"-store-B/s/daemon")
	b.ReportMetric(float64(fleet.platform.Counters().Reads-readsBefore)/elapsed, name+"-store-reads/s")
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/daemonSeconds, name+"-core-%/daemon")
	if len(changes) == 0 {
		return
	}
	var latencies []time.Duration
	for i, subtree := range changes {
		waitInForce(b, fleet.daemons, subtree)
		latencies = append(latencies, fleet.lastAdoptedAt(subtree).Sub(acceptedAt[i]))
	}
	reportSpread(b, name+"-", latencies)
}

// bytes returns the bytes that all daemons have exchanged with their peers and
// with the platform.
func (fleet *fleet) bytes() (peerBytes, platformBytes ident.Bytes) {
	for _, daemon := range fleet.daemons {
		peerBytes += daemon.traffic.Sent() + daemon.traffic.Received()
		platformBytes += daemon.platformTraffic.Sent() + daemon.platformTraffic.Received()
	}
	return peerBytes, platformBytes
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// cpuTime returns the CPU time of this process. It includes the platform
// stand-in.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
