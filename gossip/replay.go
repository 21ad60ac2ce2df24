package gossip

// replayBits is how many of the last sequence numbers of a router are remembered.
const replayBits = 64

// replayWindow detects the messages of one run of a router that were received already,
// also if some overtake others. The zero value has received none.
type replayWindow struct {
	highest uint64
	// received has bit i set if message highest-i was received.
	received uint64
}

// accept records a message and reports whether it is new. A message that is older than
// all that are remembered is not.
func (window *replayWindow) accept(sequence uint64) bool {
	if sequence > window.highest {
		shift := sequence - window.highest
		window.highest = sequence
		window.received = window.received<<shift | 1
		return true
	}
	age := window.highest - sequence
	if age >= replayBits || window.received&(1<<age) != 0 {
		return false
	}
	window.received |= 1 << age
	return true
}
