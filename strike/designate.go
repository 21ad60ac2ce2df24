package strike

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Designated returns the upstream of the pool on which a request may run alone.
// It is the same on every daemon with the same pool and strikes, and has no
// strike of the request unless all upstreams of the pool have one. It is empty
// for an empty pool.
func (tracker *Tracker) Designated(fingerprint ident.Fingerprint, pool []ident.UpstreamID) ident.UpstreamID {
	known := tracker.unexpired(fingerprint)
	var best candidate
	for _, upstream := range pool {
		_, struck := known[upstream]
		contender := candidate{upstream: upstream, struck: struck, score: rendezvousScore(fingerprint, upstream)}
		if best.upstream == "" || contender.before(best) {
			best = contender
		}
	}
	return best.upstream
}

// candidate is an upstream that may be designated.
type candidate struct {
	upstream ident.UpstreamID
	struck   bool
	score    uint64
}

func (candidate candidate) before(other candidate) bool {
	if candidate.struck != other.struck {
		return !candidate.struck
	}
	if candidate.score != other.score {
		return candidate.score > other.score
	}
	return candidate.upstream < other.upstream
}

// rendezvousScore ranks upstreams or routers for a key by rendezvous hashing.
func rendezvousScore[Member ~string](fingerprint ident.Fingerprint, member Member) uint64 {
	key := binary.LittleEndian.AppendUint64(nil, uint64(fingerprint))
	return xxhash.Sum64(append(key, member...))
}
