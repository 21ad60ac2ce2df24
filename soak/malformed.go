package soak

import (
	"time"

	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// malformedInterval is to how many faults there is one upstream with malformed answers, and
	// maxMalformedTime bounds for how long it gives them.
	malformedInterval = 6
	maxMalformedTime  = 1500 * time.Millisecond
	// malformedStream is the stream of random numbers that draws them.
	malformedStream = 1 << 44
)

// upstreamMalformed makes an upstream give malformed answers. Their bodies are wrong, so that the
// check of answers finds one that a caller gets.
func (schedule *schedule) upstreamMalformed() {
	soak := schedule.soak
	upstream := soak.upstreams[schedule.malformed.IntN(len(soak.upstreams))]
	answer := standin.MalformedAnswers[schedule.malformed.IntN(len(standin.MalformedAnswers))]
	length := time.Duration(schedule.malformed.Int64N(int64(maxMalformedTime)))
	if !schedule.claim(upstream) {
		return
	}
	heal := soak.beginBreak("upstream answers malformed: " + answer.Name)
	schedule.inject(heal, length, func() { upstream.runner.Malform(&answer) }, func() {
		upstream.runner.Malform(nil)
		schedule.release(upstream)
	})
}
