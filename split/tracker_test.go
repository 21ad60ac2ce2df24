package split_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/split"
)

const lifetime = 10 * time.Second

// storeAt returns the store's time at a time after start.
func storeAt(after time.Duration) ident.StoreTime {
	return ident.StoreTime(1000 + after.Milliseconds())
}

func TestBegan(t *testing.T) {
	empty := split.Split{Service: "pool"}
	one := empty.Rebalanced(split.Capacity{"v1": 1})
	settled := one.Settle(storeAt(time.Second))
	moved := settled.Rebalanced(split.Capacity{"v2": 1})
	tests := []struct {
		name    string
		adopted []split.Split
		at      time.Duration
		want    ident.SoftwareVersion
		certain bool
	}{
		{"no split", nil, time.Minute, "", false},
		{"never settled", []split.Split{one}, time.Minute, "", false},
		{"settled too recently", []split.Split{one, settled}, 11 * time.Second, "", false},
		{"settled for long enough", []split.Split{one, settled}, 12 * time.Second, "v1", true},
		{"moved since", []split.Split{settled, moved}, time.Minute, "", false},
		{"older one arrives late", []split.Split{moved, settled}, time.Minute, "", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var tracker split.Tracker
			tracker.ObserveClock(start, storeAt(0))
			for _, adopted := range test.adopted {
				tracker.Adopt(adopted)
			}
			version, _, certain := tracker.Began(start.Add(test.at), "pool", 5, lifetime)
			if certain != test.certain || certain && version != test.want {
				t.Errorf("got version %q, certain %t, want %q, %t", version, certain, test.want, test.certain)
			}
		})
	}
}

// fleetRouter is a router in TestCertainOriginIsRight.
type fleetRouter struct {
	tracker split.Tracker
	adopted uint64
}

// stream is a stream in TestCertainOriginIsRight.
type stream struct {
	key     split.Key
	version ident.SoftwareVersion
	beganAt time.Duration
}

// TestCertainOriginIsRight has routers learn of splits at any time, and lose all they
// know, while streams begin and are taken up at any of them. A router that has just read
// the latest split must never be certain of a version that did not begin the stream.
func TestCertainOriginIsRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := []*fleetRouter{{}, {}, {}}
		latest := split.Split{Service: "pool"}
		var streams []stream
		now := time.Duration(0)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
			router := rapid.SampledFrom(routers).Draw(t, "router")
			switch rapid.SampledFrom([]string{"rebalance", "learn", "learn", "learn", "settle", "begin", "begin", "take up", "take up", "forget"}).Draw(t, "step") {
			case "rebalance":
				latest = latest.Rebalanced(capacities().Draw(t, "capacity"))
			case "learn":
				router.learn(now, latest)
			case "settle":
				if latest.Revision > 0 && adoptedByAll(routers, latest.Revision) {
					latest = latest.Settle(storeAt(now))
				}
			case "begin":
				key := split.Key(rapid.IntRange(0, split.CellCount-1).Draw(t, "key"))
				if version, state := router.tracker.Version("pool", key); state == split.Assigned {
					streams = append(streams, stream{key: key, version: version, beganAt: now})
				}
			case "take up":
				router.learn(now, latest)
				checkCertain(t, router, now, streams)
			case "forget":
				*router = fleetRouter{}
				router.learn(now, latest)
			}
		}
	})
}

// learn has the router read the latest split.
func (router *fleetRouter) learn(now time.Duration, latest split.Split) {
	router.tracker.ObserveClock(start.Add(now), storeAt(now))
	if latest.Revision > 0 {
		router.tracker.Adopt(latest)
	}
	router.adopted = latest.Revision
}

// adoptedByAll reports whether all routers have adopted the revision.
func adoptedByAll(routers []*fleetRouter, revision uint64) bool {
	for _, router := range routers {
		if router.adopted < revision {
			return false
		}
	}
	return true
}

// checkCertain fails the test if the router is certain of a wrong version of a stream
// that may still be taken up.
func checkCertain(t *rapid.T, router *fleetRouter, now time.Duration, streams []stream) {
	for _, stream := range streams {
		if now-stream.beganAt > lifetime {
			continue
		}
		version, _, certain := router.tracker.Began(start.Add(now), "pool", stream.key, lifetime)
		if certain && version != stream.version {
			t.Fatalf("got %s for a stream that began at %s %v before", version, stream.version, now-stream.beganAt)
		}
	}
}
