package memory

import (
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// DefaultLimit is the limit of an account that has none set.
	DefaultLimit ident.Bytes = 256 << 20
	// MaxSmallBytes is the size of the largest small holding. A request of 72 KB in chunks takes
	// less, with its last part unfilled.
	MaxSmallBytes = 128 << 10
	// reservedShare is the part of the limit that is left to small holdings.
	reservedShare = 1.0 / 3
	// progressStep is the number of bytes by which progress is measured, and slowStep how
	// long they take at a tenth of the slowest link that callers have, 10 Mbit/s.
	progressStep = 64 << 10
	slowStep     = 500 * time.Millisecond
	// leavingShare is how much of the limit may be given up and not yet released for the sake
	// of large holdings: a busy process takes time to release it, and would hold both.
	leavingShare = 0.25
)

// Account bounds the bytes of all its holdings. The zero value is ready to use. It is safe
// for concurrent use.
type Account struct {
	// Limit is the most that the holdings take together; zero means DefaultLimit. It is set
	// before use.
	Limit ident.Bytes
	// Stalls, unless nil, says when the process stood still, so that holdings made no progress.
	// It is set before use.
	Stalls *Stalls

	mu sync.Mutex
	// held is the sum of all holdings, and large that of those above MaxSmallBytes.
	held, large int64
	// leaving is the sum of what was given up and is not released yet.
	leaving int64
	// unfinished are the holdings that may be given up.
	unfinished map[*Holding]struct{}
}

// Holding is what one request or connection holds in an account, whose mutex guards the
// fields. The zero value holds nothing. It belongs to one account.
type Holding struct {
	bytes int64
	// giveUp is called, while the account is locked, if the holding is given up.
	giveUp  func()
	givenUp bool
	// stalls is set for an answer, whose request has run, and reports whether it waits for its
	// caller to read.
	stalls func() bool
	// leaving is what the holding had when it was given up.
	leaving int64
	// moved counts the bytes since stepAt, and lastStep is how long the last progressStep
	// bytes took.
	moved    int64
	stepAt   time.Time
	lastStep time.Duration
}

// Held returns the bytes of all holdings.
func (account *Account) Held() ident.Bytes {
	account.mu.Lock()
	defer account.mu.Unlock()
	return ident.Bytes(account.held)
}

// Unfinished returns the number of holdings that may be given up.
func (account *Account) Unfinished() int {
	account.mu.Lock()
	defer account.mu.Unlock()
	return len(account.unfinished)
}

func (account *Account) limit() int64 {
	if account.Limit <= 0 {
		return int64(DefaultLimit)
	}
	return int64(account.Limit)
}

// Grow adds count bytes to the holding and reports whether there was room. To make room it gives
// up slow holdings of a higher rank than this one, the highest rank first. A small holding may
// also displace any large body, but an answer only while its caller reads slowly. Grow returns
// false if the holding itself has been given up.
func (account *Account) Grow(now time.Time, holding *Holding, count int64) bool {
	account.mu.Lock()
	defer account.mu.Unlock()
	if holding.givenUp {
		return false
	}
	for !account.fits(holding, count) {
		victim := account.victim(now, holding, count)
		if victim == nil || !account.mayLeave(victim, holding.bytes+count) {
			return false
		}
		account.giveUp(victim)
	}
	account.add(holding, count)
	return true
}

// TryGrow adds count bytes to the holding and reports whether there was room. It gives up no
// other holding.
func (account *Account) TryGrow(holding *Holding, count int64) bool {
	account.mu.Lock()
	defer account.mu.Unlock()
	if holding.givenUp || !account.fits(holding, count) {
		return false
	}
	account.add(holding, count)
	return true
}

// fits reports whether the holding may grow by count bytes.
func (account *Account) fits(holding *Holding, count int64) bool {
	shared := account.limit() - int64(reservedShare*float64(account.limit()))
	if holding.bytes+count <= MaxSmallBytes {
		return account.fitsSmall(shared, count)
	}
	return account.fitsLarge(shared, holding, count)
}

// fitsSmall reports whether there is room for count bytes of a small holding. What large ones
// take beyond shared, their part of the limit, does not count.
func (account *Account) fitsSmall(shared, count int64) bool {
	return account.held-account.large+min(account.large, shared)+count <= account.limit()
}

// fitsLarge reports whether there is room for count bytes of a large holding. There always is
// while there is no other large one, so that the largest request is served however small the
// account is.
func (account *Account) fitsLarge(shared int64, holding *Holding, count int64) bool {
	others := account.large
	if holding.large() {
		others -= holding.bytes
	}
	return others == 0 || others+holding.bytes+count <= shared && account.held+count <= account.limit()
}

func (holding *Holding) large() bool { return holding.bytes > MaxSmallBytes }

func (holding *Holding) answer() bool { return holding.stalls != nil }

// add changes the size of a holding.
func (account *Account) add(holding *Holding, count int64) {
	if holding.large() {
		account.large -= holding.bytes
	}
	holding.bytes += count
	account.held += count
	if holding.large() {
		account.large += holding.bytes
	}
}

// victim returns the holding that is given up so that another one can grow by count bytes, or
// nil. For a small holding that is a large one, or a slow small one; for a large holding it is a
// slow large one. It has a higher rank than the growing one, unless it is large and that is not.
func (account *Account) victim(now time.Time, growing *Holding, count int64) *Holding {
	rank := account.rank(now, growing)
	if growing.bytes+count > MaxSmallBytes {
		return account.worst(now, growing, rank, func(holding *Holding) bool {
			return holding.large() && account.slow(now, holding)
		})
	}
	large := account.worst(now, growing, -1, func(holding *Holding) bool {
		return holding.large() && (!holding.answer() || account.slow(now, holding))
	})
	if large != nil {
		return large
	}
	return account.worst(now, growing, rank, func(holding *Holding) bool {
		return !holding.large() && account.slow(now, holding)
	})
}

// worst returns the unfinished holding of the highest rank above a least one that may be given up
// for growing, or nil.
func (account *Account) worst(now time.Time, growing *Holding, least float64, may func(*Holding) bool) *Holding {
	var worst *Holding
	for holding := range account.unfinished {
		if holding == growing || !may(holding) {
			continue
		}
		if rank := account.rank(now, holding); rank > least {
			worst, least = holding, rank
		}
	}
	return worst
}

// mayLeave reports whether a holding may be given up for one that grows to grown bytes.
func (account *Account) mayLeave(victim *Holding, grown int64) bool {
	return grown <= MaxSmallBytes || account.leaving == 0 || float64(account.leaving+victim.bytes) <= leavingShare*float64(account.limit())
}

// pace returns how long the holding takes for progressStep bytes.
func (account *Account) pace(now time.Time, holding *Holding) time.Duration {
	return max(account.Stalls.Waited(now, holding.stepAt), holding.lastStep)
}

// slow reports whether the holding makes so little progress that it may be given up for one that
// makes more. An answer is not slow while it waits for its router.
func (account *Account) slow(now time.Time, holding *Holding) bool {
	return account.pace(now, holding) >= slowStep && (!holding.answer() || holding.stalls())
}

// rank orders the holdings that are given up: the largest and slowest is the highest.
func (account *Account) rank(now time.Time, holding *Holding) float64 {
	return account.pace(now, holding).Seconds() * float64(holding.bytes)
}

// giveUp frees what a holding has and tells its owner.
func (account *Account) giveUp(holding *Holding) {
	delete(account.unfinished, holding)
	holding.leaving = holding.bytes
	account.leaving += holding.leaving
	account.add(holding, -holding.bytes)
	holding.givenUp = true
	holding.giveUp()
}

// Watch says that the holding is unfinished from now on: it may be given up, by a call of
// giveUp. That must not block or use the account. The owner reports its progress.
func (account *Account) Watch(now time.Time, holding *Holding, giveUp func()) {
	account.watch(now, holding, nil, giveUp)
}

// WatchAnswer is Watch for an answer that is being written. It is given up only while its caller
// reads slowly: its request has run, and would be cut. stalls reports whether the caller has not
// taken all that was written; like giveUp it must not block or use the account.
func (account *Account) WatchAnswer(now time.Time, holding *Holding, stalls func() bool, giveUp func()) {
	account.watch(now, holding, stalls, giveUp)
}

func (account *Account) watch(now time.Time, holding *Holding, stalls func() bool, giveUp func()) {
	account.mu.Lock()
	defer account.mu.Unlock()
	if holding.givenUp {
		return
	}
	holding.giveUp, holding.stalls = giveUp, stalls
	holding.moved, holding.stepAt, holding.lastStep = 0, now, 0
	if account.unfinished == nil {
		account.unfinished = make(map[*Holding]struct{})
	}
	account.unfinished[holding] = struct{}{}
}

// Progress records that count bytes of an unfinished holding have arrived or left.
func (account *Account) Progress(now time.Time, holding *Holding, count int) {
	account.mu.Lock()
	defer account.mu.Unlock()
	holding.moved += int64(count)
	if steps := holding.moved / progressStep; steps > 0 {
		holding.lastStep = account.Stalls.Waited(now, holding.stepAt) / time.Duration(steps)
		holding.stepAt = now
		holding.moved %= progressStep
	}
}

// Keep says that the holding is finished, and is not given up any more. It returns false if
// it has been given up before.
func (account *Account) Keep(holding *Holding) bool {
	account.mu.Lock()
	defer account.mu.Unlock()
	delete(account.unfinished, holding)
	return !holding.givenUp
}

// GivenUp reports whether the holding has been given up.
func (account *Account) GivenUp(holding *Holding) bool {
	account.mu.Lock()
	defer account.mu.Unlock()
	return holding.givenUp
}

// Release returns what the holding has. It can be used again afterwards, unless it has been
// given up.
func (account *Account) Release(holding *Holding) {
	account.mu.Lock()
	defer account.mu.Unlock()
	delete(account.unfinished, holding)
	account.add(holding, -holding.bytes)
	account.leaving -= holding.leaving
	holding.leaving = 0
}
