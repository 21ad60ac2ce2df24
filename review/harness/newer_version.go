package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// poolSize is the number of runners of the pool, and crashCount how many of them crash
	// at a time, a quarter at most.
	poolSize   = 18
	crashCount = 4
	// poolRouters is the number of routers before them.
	poolRouters = 6
	// downTime is how long a crashed runner is away.
	downTime = 150 * time.Millisecond
	// newerLifetime is how long the newer version runs until it crashes.
	newerLifetime = 1500 * time.Millisecond
	// roundTime is the time between two rounds, and maxRounds limits them.
	roundTime = 7 * time.Second
	maxRounds = 6
)

// newerVersion lets runners crash, start again under the ids that they had with a newer
// software version, and crash once more, and checks that no answer is joined from what two
// versions made.
func newerVersion(trial *trial) error {
	trial.store.put("op", "config", config(1, "desk", firstKey))
	var ids []string
	for number := range poolSize {
		ids = append(ids, fmt.Sprintf("i-%d", number+1))
	}
	runners, err := trial.startRunners("pool", ids...)
	if err != nil {
		return err
	}
	if err := trial.startRouters(poolRouters); err != nil {
		return err
	}
	questions := &consumers{
		routers: trial.routers, journal: trial.journal, name: "question", path: questionPath + "1", key: firstKey,
		deadline: 12 * time.Second, pause: 200 * time.Millisecond,
	}
	questions.start()
	defer questions.finish()
	time.Sleep(steadyTime)
	for round := range maxRounds {
		if trial.trouble {
			first := round * crashCount
			if err := trial.crashTwice(runners, first); err != nil {
				return err
			}
		}
		time.Sleep(roundTime)
		if err := trial.checkJoined(); err != nil {
			return err
		}
	}
	return nil
}

// crashTwice crashes crashCount runners from the first one on. They come back with the next
// version and crash once more.
func (trial *trial) crashTwice(runners []*runner, first int) error {
	versions := make(map[*runner]int)
	for index := range crashCount {
		runner := runners[(first+index)%len(runners)]
		version, _ := runner.process()
		versions[runner] = version + 1
	}
	for range 2 {
		for runner := range versions {
			runner.crash()
			trial.journal.add(time.Now(), "runner %s crashes", runner.id)
		}
		time.Sleep(downTime)
		for runner, version := range versions {
			if err := runner.start(version); err != nil {
				return err
			}
			trial.journal.add(time.Now(), "runner %s starts again under its id, with version %d", runner.id, version)
		}
		time.Sleep(newerLifetime)
	}
	return nil
}

// checkJoined checks that all events of each answer were made by one version.
func (trial *trial) checkJoined() error {
	_, answers := trial.journal.all()
	joined := 0
	for _, answer := range answers {
		var versions []string
		for event := range strings.SplitSeq(answer.body, "\n\n") {
			_, version, found := strings.Cut(event, versionMark)
			if found && (len(versions) == 0 || versions[len(versions)-1] != version) {
				versions = append(versions, version)
			}
		}
		if len(versions) > 1 {
			joined++
			trial.journal.add(answer.at, "JOINED: the answer to %s, sent to %s at %.3f s, has events of versions %s",
				answer.attempt, answer.router, answer.sent.Sub(trial.journal.began).Seconds(), strings.Join(versions, " and then "))
		}
	}
	if joined > 0 {
		return fmt.Errorf("%w: ORDER, %d streams are joined from runs of two software versions", errBroken, joined)
	}
	return nil
}
