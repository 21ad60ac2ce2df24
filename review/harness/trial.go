package main

import (
	"os"
	"time"
)

// startTimeout is how long the routers may take to become ready.
const startTimeout = 15 * time.Second

// trial is the deployment of one case.
type trial struct {
	// trouble says whether the disruption takes place.
	trouble bool
	folder  string
	journal *journal
	store   *store
	address string
	routers []*router
	links   []*link
	// troubledAt is when the disruption took place, or zero.
	troubledAt time.Time
}

// newTrial returns a deployment without routers and runners.
func newTrial(trouble bool, journal *journal) (*trial, error) {
	trial := &trial{trouble: trouble, journal: journal, store: newStore()}
	var err error
	if trial.address, err = trial.store.listen(); err != nil {
		return trial, err
	}
	trial.folder, err = os.MkdirTemp("", "review")
	return trial, err
}

// startRouters starts routers, each with a link of its own to the store, and waits until
// they are ready.
func (trial *trial) startRouters(count int) error {
	for index := range count {
		link, err := newLink(trial.address)
		if err != nil {
			return err
		}
		router, err := newRouter(trial.folder, index, link.address)
		if err != nil {
			return err
		}
		trial.links = append(trial.links, link)
		trial.routers = append(trial.routers, router)
		if err := router.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(startTimeout)
	for _, router := range trial.routers {
		if err := router.awaitReady(until); err != nil {
			return err
		}
	}
	trial.journal.add(time.Now(), "%d routers are ready", count)
	return nil
}

// startRunners starts runners of a service.
func (trial *trial) startRunners(service string, ids ...string) ([]*runner, error) {
	var runners []*runner
	for _, id := range ids {
		runner, err := newRunner(id, service, trial.store, trial.journal)
		if err != nil {
			return nil, err
		}
		runners = append(runners, runner)
	}
	return runners, nil
}

// silenceStoreChannels makes all open channels between the routers and the store go
// silent, if there is to be trouble.
func (trial *trial) silenceStoreChannels() {
	if !trial.trouble {
		return
	}
	trial.troubledAt = time.Now()
	for _, link := range trial.links {
		link.silence()
	}
	trial.journal.add(trial.troubledAt, "the open channels between the routers and the store go silent; new ones work")
}

// inTouch reports whether the routers were in touch at a time: the disruption, which counts
// as a reset of their channels, was contactTime before.
func (trial *trial) inTouch(at time.Time) bool {
	return trial.troubledAt.IsZero() || at.After(trial.troubledAt.Add(contactTime+touchSlack))
}

// end ends the processes and removes the folder.
func (trial *trial) end() {
	for _, router := range trial.routers {
		router.kill()
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(trial.folder)
	}
}
