package quota

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestDivisionUsesTheRate guards against a cold rate that is left to one router, and of which
// less than the required 0.8 is used then, and against one that exceeds its part of the
// allowance.
func TestDivisionUsesTheRate(t *testing.T) {
	for tenths := 10; tenths <= 1000; tenths++ {
		for _, routers := range []int{1, 2, 3, 6, 18, 40, 103, 300, 620} {
			rule := ColdRule{Start: 3 * time.Second, PerSecond: float64(tenths) / 10, Overage: 1.5, Slack: 5}
			division := divideCold(rule, routers)
			used := division.perSecond * float64(division.sharing)
			allowance := sharedAllowance * (rule.PerSecond*rule.Overage + rule.Slack)
			most := math.Floor(division.saved+division.perSecond*arrivalStretch) * float64(division.sharing)
			name := fmt.Sprintf("%.1f a second, %d routers: %+v", rule.PerSecond, routers, division)
			if used < 0.8*rule.PerSecond || used > rule.PerSecond+0.001 {
				t.Errorf("%s: got %.2f of the rate, want 0.8 to 1", name, used/rule.PerSecond)
			}
			if most > allowance {
				t.Errorf("%s: got at most %.0f requests in a second, want %.1f", name, most, allowance)
			}
			if alone := division.sharing == 1; alone && routers > 2 && rule.PerSecond > 10 {
				t.Errorf("%s: got the rate left to one router", name)
			}
			if division.saved < 1 || division.saved > maxSaved {
				t.Errorf("%s: got %v saved, want 1 to %v", name, division.saved, maxSaved)
			}
		}
	}
}
