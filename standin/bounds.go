package standin

import "time"

// The bounds of the users' rules that tests and the soak check, by the rule's name.
const (
	// ContactTime is how long a router has to be in touch before a rule with a time
	// bound holds for it.
	ContactTime = 3 * time.Second

	// MaxCrashes is how many upstreams one request may crash, and MaxPartCrashes how
	// many requests with one part of a prompt may (BUDGET). ContactTime after the last
	// of them, at most MaxLateRuns more may reach upstreams.
	MaxCrashes     = 3
	MaxPartCrashes = 5
	MaxLateRuns    = 3

	// LimitWindow is the time in which an upstream may get LimitFactor times what its
	// limit allows and LimitSlack more (LIMIT), from ContactTime after it named it.
	LimitWindow = 4 * time.Second
	LimitFactor = 1.5
	LimitSlack  = 5
)

// AllowedInLimitWindow returns how many requests an upstream may get in any LimitWindow
// at a limit of perSecond requests a second.
func AllowedInLimitWindow(perSecond float64) int {
	return int(LimitFactor*perSecond*LimitWindow.Seconds()) + LimitSlack
}
