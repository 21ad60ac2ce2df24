package admission

// MaxPartners is the most upstreams that a sidecar asks for their load in one
// round. As each exchange informs both sides, a sidecar hears of twice as many.
const MaxPartners = 8

// Partners returns the places, in the sorted list of a pool of size upstreams,
// of those that the one at place self exchanges loads with in a round. In a
// pool of up to 2*MaxPartners+1 that is half of the others, so that each hears
// of every other one in each round. In a larger one the rounds go through all of
// them in turn, which keeps the error of one round's mean from lasting.
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
