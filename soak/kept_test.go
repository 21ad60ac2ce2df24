package soak

import (
	"testing"
	"time"
)

// TestOnlyTheRouterItselfMayLoseWhatIsNotForwarded guards against lost requests that are excused by a
// fault that is no reason to close their connection.
func TestOnlyTheRouterItselfMayLoseWhatIsNotForwarded(t *testing.T) {
	own, other := new(router), new(router)
	now := time.Now()
	for _, test := range []struct {
		name      string
		span      span
		forwarded bool
		want      bool
	}{
		{"own process", span{routers: []*router{own}}, false, true},
		{"another process", span{routers: []*router{other}}, false, false},
		{"another process, forwarded", span{routers: []*router{other}}, true, true},
		{"upstream", span{byUpstream: true}, false, false},
		{"upstream, forwarded", span{byUpstream: true}, true, true},
		{"processor time", span{starved: true}, false, false},
		{"processor time, forwarded", span{starved: true}, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.span.from = now
			soak := &Soak{disturbances: []span{test.span}}
			if got := soak.mayLose(own, test.forwarded, now.Add(-time.Second), now.Add(time.Second)); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
			if soak.mayLose(own, test.forwarded, now.Add(-time.Second), now.Add(-time.Millisecond)) {
				t.Error("got a fault that excuses what ended before it, want none")
			}
		})
	}
}
