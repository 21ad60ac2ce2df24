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
	// plannedEvery is the time between two of 9,600 changes a day.
	plannedEvery = 9 * time.Second
	// fastEvery is the time between two of 10 changes a second.
	fastEvery = 100 * time.Millisecond
)

// BenchmarkFleet measures fleets of daemons in this process over loopback TCP,
// with the store cut after each commit while it measures the spread. Run each
// size once: go test -run '^$' -bench Fleet/100 -benchtime 1x ./peer
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
	before := memory()
	fleet := newFleet(b)
	fleet.fill()
	fleet.start(size, 3)
	// Opens every link and sends the gob types.
	fleet.warm()
	b.ReportMetric(float64(memory()-before)/float64(size)/1024, "KiB/daemon")
	b.ReportMetric(float64(fleet.linksOpen())/float64(size), "links/daemon")
	fleet.measureSpread(b)
	fleet.measureTraffic(b, "rest", 8*time.Second, 0)
	fleet.measureTraffic(b, "planned", 18*time.Second, plannedEvery)
	fleet.measureTraffic(b, "fast", 8*time.Second, fastEvery)
	b.ReportMetric(0, "ns/op")
	fleet.stop()
}

func benchTeam(number int) ident.TeamID { return ident.TeamID(fmt.Sprintf("team-%d", number)) }

// fill puts settings of the size to design for into the store.
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
		inForce(fleet.t, fleet.daemons, fleet.daemons[0].accept(benchTeam(round), 50))
		time.Sleep(time.Second)
	}
}

func (fleet *fleet) linksOpen() int {
	open := 0
	for _, daemon := range fleet.daemons {
		open += daemon.links.Open()
	}
	return open
}

// measureSpread reports the time from the commit, with the store cut right
// after it, to the last daemon that has the change in force.
func (fleet *fleet) measureSpread(b *testing.B) {
	var last []time.Duration
	for round := range benchChanges {
		origin := fleet.daemons[round*7%len(fleet.daemons)]
		subtree := origin.commit(benchTeam(round%benchTeams), round+100)
		fleet.platform.Switch(standin.PlatformSwitches{Outage: true})
		accepted := time.Now()
		origin.replicator.Accepted(subtree)
		inForce(b, fleet.daemons, subtree)
		last = append(last, fleet.lastAdopted(subtree).Sub(accepted))
		fleet.platform.Switch(standin.PlatformSwitches{})
		// The next change meets daemons that may announce at once.
		time.Sleep(600 * time.Millisecond)
	}
	reportSpread(b, "", last)
}

func reportSpread(b *testing.B, name string, last []time.Duration) {
	slices.Sort(last)
	report := func(metric string, value time.Duration) {
		b.ReportMetric(float64(value.Microseconds())/1000, name+metric)
	}
	report("spread-median-ms", last[len(last)/2])
	report("spread-p99-ms", last[len(last)*99/100])
	report("spread-max-ms", last[len(last)-1])
}

// lastAdopted returns when the last daemon had subtree or a later one in force.
func (fleet *fleet) lastAdopted(subtree *settings.Subtree) time.Time {
	var latest time.Time
	for _, daemon := range fleet.daemons {
		if at := daemon.adoptedAt(subtree); at.After(latest) {
			latest = at
		}
	}
	return latest
}

func (daemon *daemon) adoptedAt(subtree *settings.Subtree) time.Time {
	daemon.mu.Lock()
	defer daemon.mu.Unlock()
	var first time.Time
	for mark, at := range daemon.adopted {
		later := mark.team == subtree.Team && mark.revision >= subtree.Revision
		if later && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// measureTraffic reports what a daemon spends while a change is accepted each
// every; zero means none.
func (fleet *fleet) measureTraffic(b *testing.B, name string, window, every time.Duration) {
	time.Sleep(time.Second)
	peerBytes, platformBytes := fleet.bytes()
	reads := fleet.platform.Counters().Reads
	processor := processorTime()
	began := time.Now()
	var changes []*settings.Subtree
	var acceptedAt []time.Time
	for round := 0; time.Since(began) < window; round++ {
		if every == 0 {
			time.Sleep(window)
			continue
		}
		due := began.Add(time.Duration(round) * every)
		time.Sleep(time.Until(due))
		if time.Since(began) < window {
			changes = append(changes, fleet.daemons[round*7%len(fleet.daemons)].accept(benchTeam(round%benchTeams), round+200))
			acceptedAt = append(acceptedAt, time.Now())
		}
	}
	took := time.Since(began).Seconds()
	share := took * float64(len(fleet.daemons))
	peerAfter, platformAfter := fleet.bytes()
	b.ReportMetric(float64(peerAfter-peerBytes)/share, name+"-peer-B/s/daemon")
	b.ReportMetric(float64(platformAfter-platformBytes)/share, name+"-store-B/s/daemon")
	b.ReportMetric(float64(fleet.platform.Counters().Reads-reads)/took, name+"-store-reads/s")
	b.ReportMetric(100*(processorTime()-processor).Seconds()/share, name+"-core-%/daemon")
	if len(changes) == 0 {
		return
	}
	var last []time.Duration
	for i, subtree := range changes {
		inForce(b, fleet.daemons, subtree)
		last = append(last, fleet.lastAdopted(subtree).Sub(acceptedAt[i]))
	}
	reportSpread(b, name+"-", last)
}

// bytes returns the bytes that all daemons have sent and received.
func (fleet *fleet) bytes() (toPeers, toPlatform ident.Bytes) {
	for _, daemon := range fleet.daemons {
		toPeers += daemon.traffic.Sent() + daemon.traffic.Received()
		toPlatform += daemon.toPlatform.Sent() + daemon.toPlatform.Received()
	}
	return toPeers, toPlatform
}

// memory returns the bytes of heap and stacks in use after a collection.
func memory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// processorTime returns the processor time of this process, which includes the
// stand-in of the platform.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
