package memory_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/memory"
	"github.com/hickoryhead/hickoryhead/seeded"
)

const limit = 12 << 20

// owner is a holding with its owner.
type owner struct {
	holding memory.Holding
	bytes   int64
	givenUp bool
}

func (owner *owner) giveUp() { owner.givenUp = true }

// start returns an unfinished holding that has grown to count bytes at once.
func start(t *testing.T, account *memory.Account, now time.Time, count int64) *owner {
	t.Helper()
	owner := new(owner)
	account.Watch(now, &owner.holding, owner.giveUp)
	if !account.Grow(now, &owner.holding, count) {
		t.Fatalf("got no room for %d bytes, want room", count)
	}
	account.Progress(now, &owner.holding, int(count))
	return owner
}

// TestStalledHoldingGivesWay guards against a crowd of unfinished bodies that keeps out a
// caller which makes progress.
func TestStalledHoldingGivesWay(t *testing.T) {
	account := &memory.Account{Limit: limit}
	now := time.Unix(1000, 0)
	larger, smaller := start(t, account, now, 4<<20), start(t, account, now, 3<<20)
	now = now.Add(time.Second)
	growing := start(t, account, now, 4<<20)
	if !larger.givenUp || smaller.givenUp {
		t.Errorf("got given up %v and %v, want the larger one only", larger.givenUp, smaller.givenUp)
	}
	if account.Keep(&larger.holding) || account.Grow(now, &larger.holding, 1) {
		t.Error("got a holding that goes on after it was given up, want none")
	}
	if !account.Keep(&growing.holding) || !account.Keep(&smaller.holding) {
		t.Error("got a kept holding that was given up, want none")
	}
	if got, want := account.Held(), ident.Bytes(7<<20); got != want {
		t.Errorf("got %d bytes held, want %d", got, want)
	}
}

// TestGivenUpCountsUntilItIsReleased guards against a busy process that gives up more than it
// gets to release, and holds both what was given up and what took its place.
func TestGivenUpCountsUntilItIsReleased(t *testing.T) {
	account := &memory.Account{Limit: limit}
	now := time.Unix(1000, 0)
	first, second := start(t, account, now, 4<<20), start(t, account, now, 3<<20)
	now = now.Add(time.Second)
	growing := start(t, account, now, 4<<20)
	late := start(t, account, now, memory.MaxSmallBytes)
	if account.Grow(now, &late.holding, 3<<20) || second.givenUp {
		t.Error("got a second holding given up before the first was released, want none")
	}
	account.Release(&first.holding)
	if !account.Grow(now, &late.holding, 3<<20) || !second.givenUp || growing.givenUp {
		t.Error("got no room after the release, want that of the slow holding")
	}
}

// TestProgressIsKept guards against bodies that give each other up in turn, so that none
// gets to its end: those that make progress stay, and the new one is refused.
func TestProgressIsKept(t *testing.T) {
	account := &memory.Account{Limit: limit}
	now := time.Unix(1000, 0)
	first, second := start(t, account, now, 4<<20), start(t, account, now, 4<<20)
	now = now.Add(100 * time.Millisecond)
	late := start(t, account, now, memory.MaxSmallBytes)
	if account.Grow(now, &late.holding, 1<<20) {
		t.Error("got room for a new large holding, want none")
	}
	if first.givenUp || second.givenUp {
		t.Error("got a holding given up that makes progress, want none")
	}
}

// TestTrickleIsSlow guards against a client that stays ahead by a byte now and then.
func TestTrickleIsSlow(t *testing.T) {
	account := &memory.Account{Limit: limit}
	now := time.Unix(1000, 0)
	trickling, steady := start(t, account, now, 3<<20), start(t, account, now, 4<<20)
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		account.Progress(now, &trickling.holding, 1)
		account.Progress(now, &steady.holding, 20<<10)
	}
	start(t, account, now, 3<<20)
	if !trickling.givenUp || steady.givenUp {
		t.Errorf("got given up %v and %v, want the one that trickles only", trickling.givenUp, steady.givenUp)
	}
}

// TestSmallHoldingsFindRoom guards against large bodies that leave no room for ordinary
// requests, whether they are finished or not.
func TestSmallHoldingsFindRoom(t *testing.T) {
	for _, finished := range []bool{false, true} {
		account := &memory.Account{Limit: limit}
		now := time.Unix(1000, 0)
		for range 2 {
			large := start(t, account, now, 4<<20)
			if finished {
				account.Keep(&large.holding)
			}
		}
		for count := range limit / 3 / memory.MaxSmallBytes {
			small := start(t, account, now, memory.MaxSmallBytes)
			if !account.Keep(&small.holding) {
				t.Errorf("got small holding %d given up, want none", count)
			}
		}
	}
}

// TestLargestFitsAlone guards against an account that is smaller than the largest body: it is
// served while there is no other large one.
func TestLargestFitsAlone(t *testing.T) {
	account := &memory.Account{Limit: 1 << 20}
	now := time.Unix(1000, 0)
	alone := start(t, account, now, 4<<20)
	other := start(t, account, now, 1)
	if account.Grow(now, &other.holding, 1<<20) {
		t.Error("got room for a second large holding, want none")
	}
	account.Release(&alone.holding)
	if !account.Grow(now, &other.holding, 4<<20) {
		t.Error("got no room after the release, want room")
	}
}

// TestAccountKeepsItsSums checks for any order of calls that the account holds just what its
// holdings have, and stays within its limit but for one large holding.
func TestAccountKeepsItsSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		account := &memory.Account{Limit: 1 << 20}
		now := time.Unix(1000, 0)
		owners := make([]*owner, 8)
		for i := range owners {
			owners[i] = new(owner)
		}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			owner := owners[rapid.IntRange(0, len(owners)-1).Draw(t, "owner")]
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				account.Watch(now, &owner.holding, owner.giveUp)
			case 1:
				account.Progress(now, &owner.holding, rapid.IntRange(0, 200<<10).Draw(t, "progress"))
			case 2:
				if got := account.Keep(&owner.holding); got == owner.givenUp {
					t.Fatalf("got Keep %v for a holding given up %v", got, owner.givenUp)
				}
			case 3:
				account.Release(&owner.holding)
				owner.bytes = 0
			case 4:
				count := rapid.Int64Range(1, 300<<10).Draw(t, "count")
				if account.Grow(now, &owner.holding, count) {
					owner.bytes += count
				}
			}
			var sum, largest int64
			for _, owner := range owners {
				if owner.givenUp {
					owner.bytes = 0
				}
				sum += owner.bytes
				largest = max(largest, owner.bytes)
			}
			if got := int64(account.Held()); got != sum {
				t.Fatalf("got %d bytes held, want %d", got, sum)
			}
			if sum-largest > int64(account.Limit) {
				t.Fatalf("got %d bytes beside the largest, want at most %d", sum-largest, account.Limit)
			}
		}
	})
}

// TestSmallHoldingKeepsBetterOnes guards against a slow small body that takes the place of
// another small one with better progress.
func TestSmallHoldingKeepsBetterOnes(t *testing.T) {
	account := &memory.Account{Limit: 180 << 10}
	now := time.Unix(1000, 0)
	slow := start(t, account, now, 110<<10)
	now = now.Add(10 * time.Second)
	better := start(t, account, now, 60<<10)
	now = now.Add(600 * time.Millisecond)
	if account.Grow(now, &slow.holding, 16<<10) || better.givenUp {
		t.Error("got room for the slower holding, want the better one kept")
	}
	if !account.Grow(now, &better.holding, 16<<10) || !slow.givenUp {
		t.Error("got no room for the better holding, want that of the slower one")
	}
}

// TestReadAnswerIsKept guards against an answer that is cut off for an ordinary request although
// its caller reads it: that request has run, while one whose body is given up has not.
func TestReadAnswerIsKept(t *testing.T) {
	account := &memory.Account{Limit: 1 << 20}
	now := time.Unix(1000, 0)
	var answer, finished owner
	account.WatchAnswer(now, &answer.holding, func() bool { return true }, answer.giveUp)
	if !account.Grow(now, &answer.holding, 600<<10) || !account.Grow(now, &finished.holding, 100<<10) {
		t.Fatal("got no room in an empty account, want some")
	}
	for range 4 {
		start(t, account, now, 80<<10)
	}
	now = now.Add(100 * time.Millisecond)
	var small memory.Holding
	if account.Grow(now, &small, 128<<10) || answer.givenUp {
		t.Error("got an answer given up whose caller reads, want it kept")
	}
	now = now.Add(time.Second)
	if !account.Grow(now, &small, 128<<10) || !answer.givenUp {
		t.Error("got no room beside an answer that nobody reads, want its room")
	}
}

// TestAnswerThatWaitsForItsRouterIsKept guards against an answer that is cut off because its router
// takes long to write it, and against one that is kept although nobody reads it.
func TestAnswerThatWaitsForItsRouterIsKept(t *testing.T) {
	account := &memory.Account{Limit: 1 << 20}
	now := time.Unix(1000, 0)
	var answer, finished owner
	stalls := false
	account.WatchAnswer(now, &answer.holding, func() bool { return stalls }, answer.giveUp)
	if !account.Grow(now, &answer.holding, 600<<10) || !account.Grow(now, &finished.holding, 100<<10) {
		t.Fatal("got no room in an empty account, want some")
	}
	for range 4 {
		account.Keep(&start(t, account, now, 80<<10).holding)
	}
	now = now.Add(time.Second)
	var small memory.Holding
	if account.Grow(now, &small, 128<<10) || answer.givenUp {
		t.Error("got an answer given up that waits for its router, want it kept")
	}
	stalls = true
	if !account.Grow(now, &small, 128<<10) || !answer.givenUp {
		t.Error("got no room beside an answer that nobody reads, want its room")
	}
}

// TestStallOfTheProcessIsNoStallOfOthers guards against sound bodies that are given up because the
// process stood still, and against one that stalls for longer than it.
func TestStallOfTheProcessIsNoStallOfOthers(t *testing.T) {
	for _, ticked := range []bool{false, true} {
		account := &memory.Account{Limit: limit, Stalls: new(memory.Stalls)}
		now := time.Unix(1000, 0)
		account.Stalls.Tick(now)
		first, second := start(t, account, now, 4<<20), start(t, account, now, 3<<20)
		now = now.Add(5 * time.Second)
		if ticked {
			account.Stalls.Tick(now)
			now = now.Add(100 * time.Millisecond)
		}
		late := start(t, account, now, memory.MaxSmallBytes)
		if account.Grow(now, &late.holding, 2<<20) || first.givenUp || second.givenUp {
			t.Errorf("ticked %v: got a holding given up after a stall of the process, want none", ticked)
		}
		for range 3 {
			account.Stalls.Tick(now)
			now = now.Add(500 * time.Millisecond)
		}
		if !account.Grow(now, &late.holding, 2<<20) || !first.givenUp {
			t.Errorf("ticked %v: got no room in place of a holding that stalls, want it", ticked)
		}
	}
}

// TestBodyTimeSuitsSlowLinks guards against a minimum rate that a caller within the limits
// misses: one on a link of 10 Mbit/s that loses every second byte, with a stall of 12 s.
func TestBodyTimeSuitsSlowLinks(t *testing.T) {
	const bytesPerSecond = 10_000_000 / 8 / 2
	for count := int64(0); count <= 4<<20; count += 4096 {
		took := 12*time.Second + time.Duration(count+1)*time.Second/bytesPerSecond
		if got := memory.BodyTime(count); got < took {
			t.Fatalf("got %v for the byte after %d, want at least %v", got, count, took)
		}
	}
}

func TestMain(m *testing.M) { seeded.Main(m, "2025") }
