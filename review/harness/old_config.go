package main

import (
	"fmt"
	"time"
)

// changeDelay is the time from the disruption to the change of the configuration.
const changeDelay = 300 * time.Millisecond

// oldConfig moves a route to another service and withdraws a key, shortly after the open
// channels to the store went silent, and checks which requests run where.
func oldConfig(trial *trial) error {
	trial.store.put("op", "config", config(1, "desk", firstKey, otherKey))
	if _, err := trial.startRunners("desk", "i-1", "i-2", "i-3"); err != nil {
		return err
	}
	if _, err := trial.startRunners("desk-new", "i-4", "i-5", "i-6"); err != nil {
		return err
	}
	if err := trial.startRouters(routerCount); err != nil {
		return err
	}
	var senders []*consumers
	for name, key := range map[string]string{"moved": firstKey, "withdrawn": otherKey} {
		sender := &consumers{
			routers: trial.routers, journal: trial.journal, name: name, path: "/orders/confirm", key: key,
			deadline: 3 * time.Second, pause: 50 * time.Millisecond,
		}
		sender.start()
		senders = append(senders, sender)
	}
	time.Sleep(steadyTime)
	trial.silenceStoreChannels()
	time.Sleep(changeDelay)
	changed := trial.store.put("op", "config", config(2, "desk-new", firstKey))
	trial.journal.add(changed, "version 2 moves the route to desk-new and withdraws the key of the requests withdrawn-*, acknowledged by the store")
	time.Sleep(watchTime)
	for _, sender := range senders {
		sender.finish()
	}
	return trial.checkConfig(changed)
}

// checkConfig checks that no request which was sent to a router in touch later than
// configApplyTime after the change ran as only the version before allows.
func (trial *trial) checkConfig(changed time.Time) error {
	runs, answers := trial.journal.all()
	moved, withdrawn := 0, 0
	for _, run := range runs {
		request := answers[run.attempt]
		if !request.sent.After(changed.Add(configApplyTime+slack)) || !trial.inTouch(request.sent) {
			continue
		}
		problem := ""
		switch {
		case request.key == otherKey:
			withdrawn++
			problem = "runs with a key that was withdrawn"
		case run.service == "desk":
			moved++
			problem = "runs at the service of the version before"
		default:
			continue
		}
		trial.journal.add(run.at, "OLD: %s, sent to %s %.3f s after the change, %s", run.attempt, request.router, request.sent.Sub(changed).Seconds(), problem)
	}
	if moved+withdrawn > 0 {
		return fmt.Errorf("%w: CONFIG, %d requests run at the old service and %d with a withdrawn key", errBroken, moved, withdrawn)
	}
	return nil
}
