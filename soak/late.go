package soak

import "time"

const (
	// minLate and maxLate bound how much later than it was sent the store performs a check-in.
	minLate = 2200 * time.Millisecond
	maxLate = 3800 * time.Millisecond
	// lateStream is the stream of random numbers that draws them.
	lateStream = 1 << 45
)

// checkInLate has each second upstream that is about to leave check in as ready, and the store perform
// that once it leaves. checkLeaving finds the requests that it gets then.
func (schedule *schedule) checkInLate(upstream *upstream) {
	late := minLate + time.Duration(schedule.lates.Int64N(int64(maxLate-minLate)))
	if schedule.lates.IntN(2) == 0 {
		return
	}
	checkIn, up := upstream.runner.LateCheckIn()
	if !up {
		return
	}
	schedule.soak.countPlanned("check-in performed late")
	schedule.healAfter(late, func() { schedule.soak.store.Write(checkIn) })
}
