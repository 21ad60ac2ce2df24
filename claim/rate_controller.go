package claim

const (
	// defaultMaxRate is the highest rate, in writes per second, if MaxRate is
	// zero.
	defaultMaxRate = 100
	// minRate is the lowest rate, in writes per second. Some writes must
	// continue during an outage so that its end is noticed.
	minRate = 5
	// rateIncrement is added to the rate for each accepted write.
	// rateDecreaseFactor multiplies the rate for each refused one.
	rateIncrement      = 0.1
	rateDecreaseFactor = 0.7
)

// RateController adapts the write rate of one sidecar to a table whose limit it
// shares with an unknown number of others. The rate grows by a constant with
// each accepted write and shrinks by a factor with each refused one.
type RateController struct {
	// MaxRate is the upper limit of Rate, in writes per second; zero means 100.
	MaxRate float64
	// Rate is the current rate, in writes per second.
	Rate float64
}

// RecordWrite adjusts the rate after a write that the table accepted or
// refused.
func (controller *RateController) RecordWrite(accepted bool) {
	maxRate := controller.MaxRate
	if maxRate == 0 {
		maxRate = defaultMaxRate
	}
	if accepted {
		controller.Rate = min(controller.Rate+rateIncrement, maxRate)
		return
	}
	controller.Rate = max(controller.Rate*rateDecreaseFactor, minRate)
}
