package admission

// MaxPartners is the maximum number of upstreams that a sidecar samples in one
// round. Because each exchange informs both sides, a sidecar receives up to
// twice as many samples.
const MaxPartners = 8

// Partners returns the upstreams that the upstream at index self exchanges
// loads with in the given round, as indexes into the sorted list of a pool of
// size upstreams. In a pool of up to 2*MaxPartners+1 they are half of the
// others, so that each upstream receives the load of every other one in each
// round. In a larger pool the rounds cover all of them in turn, so that an
// error in the mean of one round does not last.
func Partners(size, self int, round uint64) []int {
	half := size / 2
	count := min(half, MaxPartners)
	partners := make([]int, count)
	for i := range partners {
		distance := 1
		if half > 0 {
			distance += int((round*uint64(count) + uint64(i)) % uint64(half))
		}
		partners[i] = (self + distance) % size
	}
	return partners
}
