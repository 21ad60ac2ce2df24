package claim

const (
	// defaultMaxRate is the highest rate of a RateController whose MaxRate is
	// zero.
	defaultMaxRate = 100
	// least is the lowest rate, so that an outage is noticed to be over.
	least = 5
	// paceStep is added to the rate for each write that was taken, and
	// paceFactor multiplies it for each that was refused.
	paceStep   = 0.1
	paceFactor = 0.7
)

// RateController adapts the writes a second of one sidecar to a table whose
// limit it shares with others that it does not know: up by a step for each
// write that was taken, down by a factor for each that was refused.
type RateController struct {
	// MaxRate bounds the rate, in writes a second; zero means 100.
	MaxRate float64
	// Rate is the present rate, in writes a second.
	Rate float64
}

// Add takes in whether the table took a write.
func (controller *RateController) Add(taken bool) {
	most := controller.MaxRate
	if most == 0 {
		most = defaultMaxRate
	}
	if taken {
		controller.Rate = min(controller.Rate+paceStep, most)
		return
	}
	controller.Rate = max(controller.Rate*paceFactor, least)
}
