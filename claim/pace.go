package claim

const (
	// defaultMost is the highest rate of a Pace whose Most is zero.
	defaultMost = 100
	// least is the lowest rate, so that an outage is noticed to be over.
	least = 5
	// paceStep is added to the rate for each write that was taken, and
	// paceFactor multiplies it for each that was refused.
	paceStep   = 0.1
	paceFactor = 0.7
)

// RateController adapts the writes a second of one sidecar to a table whose limit it
// shares with others that it does not know: up by a step for each write that
// was taken, down by a factor for each that was refused.
type RateController struct {
	// MaxRate bounds the rate, in writes a second; zero means 100.
	MaxRate float64
	// Rate is the present rate, in writes a second.
	Rate float64
}

// Add takes in whether the table took a write.
func (pace *RateController) Add(taken bool) {
	most := pace.MaxRate
	if most == 0 {
		most = defaultMost
	}
	if taken {
		pace.Rate = min(pace.Rate+paceStep, most)
		return
	}
	pace.Rate = max(pace.Rate*paceFactor, least)
}
