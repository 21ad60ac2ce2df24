package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/review/stage"
)

const (
	// memoryClients is how many consumers keep a channel each.
	memoryClients = 48
	// memoryTime bounds the traffic of the case.
	memoryTime = 95 * time.Second
	// requestsPerSecond is the rate of all consumers together.
	requestsPerSecond = 100
	// longHistory is how many parts of 16 tokens the history of a chat has, and shortHistory how
	// many it has without the disruption.
	longHistory  = 1100
	shortHistory = 2
	draftPath    = "/draft/1"
)

func draftConfig() stage.Config {
	return stage.Config{
		Version:  7,
		Routes:   []stage.Route{{Name: "r-draft", Host: "site.example", Prefix: "/draft/", RouteType: "streaming", TimeoutMs: 15000, TargetMs: 1000, Priority: 1, Service: "model", MaxAttempts: 1, StickySessions: true}},
		Services: []stage.Service{{Name: "model", HealthPath: "/healthz", MaxConnections: 360}},
		Limits:   stage.Limits(),
		Tenants:  []stage.Tenant{{Name: "hule930", APIKeys: []string{key}}},
	}
}

// chats makes the requests of chats, each with a session part of its own.
type chats struct {
	parts  int
	next   atomic.Int64
	served atomic.Int64
	failed atomic.Int64
}

// request returns the first request of a new chat.
func (chats *chats) request() string {
	number := chats.next.Add(1)
	attempt := fmt.Sprintf("%016x", 0x5000000000000000+number)
	var prefix strings.Builder
	for i := range chats.parts {
		fmt.Fprintf(&prefix, "%08x:16,", uint32(number)<<11|uint32(i))
	}
	fmt.Fprintf(&prefix, "%08x:40", uint32(number)<<11|uint32(chats.parts))
	return stage.Head("POST", draftPath, attempt, key, 15000) +
		"Hickoryhead-Model: m\r\nHickoryhead-Token-Usage: 12000,80\r\nHickoryhead-Prompt-Prefix: " + prefix.String() + "\r\nContent-Length: 2\r\n\r\nhi"
}

// consumer sends the requests of chats on one channel, one after the other.
type consumer struct {
	chats *chats
	front string
	stop  <-chan struct{}
	done  chan struct{}
}

func (consumer *consumer) run() {
	defer close(consumer.done)
	var client *stage.Client
	ticker := time.NewTicker(memoryClients * time.Second / requestsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-consumer.stop:
			return
		case <-ticker.C:
		}
		var err error
		if client == nil {
			if client, err = stage.Dial(consumer.front); err != nil {
				consumer.chats.failed.Add(1)
				continue
			}
		}
		err = client.Send(consumer.chats.request())
		if err == nil {
			var response *http.Response
			if response, _, err = client.Receive(15 * time.Second); err == nil && response.StatusCode == http.StatusOK {
				consumer.chats.served.Add(1)
				continue
			}
		}
		consumer.chats.failed.Add(1)
		if err != nil {
			client.Close()
			client = nil
		}
	}
}

// memory lets very many chats with long shared prompts begin.
func memory(record string, trouble bool) (int, error) {
	scene, err := stage.Open(record)
	if err != nil {
		return failed, err
	}
	defer scene.Close()
	if err := scene.PutConfig(draftConfig()); err != nil {
		return failed, err
	}
	for i := range 12 {
		if err := scene.StartRunner(&stage.Runner{ID: fmt.Sprintf("i-model-%d", i), Service: "model", Slots: 64, Model: true}); err != nil {
			return failed, err
		}
	}
	router, err := scene.StartRouter("edge-1")
	if err != nil {
		return failed, err
	}
	crowd := &chats{parts: shortHistory}
	if trouble {
		crowd.parts = longHistory
	}
	first := crowd.request()
	scene.Record("each consumer keeps a channel and begins one chat after the other; a request has %d bytes, %d parts in the history of the chat: %.300q...", len(first), crowd.parts, first)
	stop := make(chan struct{})
	var consumers []*consumer
	for range memoryClients {
		consumer := &consumer{chats: crowd, front: router.Front, stop: stop, done: make(chan struct{})}
		consumers = append(consumers, consumer)
		go consumer.run()
	}
	code := held
	end := time.Now().Add(memoryTime)
	for second := 0; time.Now().Before(end); second++ {
		time.Sleep(time.Second)
		resident := router.ResidentMB()
		if second%5 == 0 {
			scene.Record("chats begun %d, served %d, failed %d; the process has %d MB", crowd.next.Load(), crowd.served.Load(), crowd.failed.Load(), resident)
		}
		if router.Ended() {
			scene.Record("broken: the process has ended by itself")
			code = broken
			break
		}
		if resident > stage.MemoryMB {
			scene.Record("the process has %d MB, more than the %d MB of its machine: the platform kills it", resident, stage.MemoryMB)
			router.Kill()
			time.Sleep(200 * time.Millisecond)
			scene.Record("chats begun %d, served %d, failed %d", crowd.next.Load(), crowd.served.Load(), crowd.failed.Load())
			scene.Record("broken: a process ended for its memory")
			code = broken
			break
		}
	}
	close(stop)
	for _, consumer := range consumers {
		<-consumer.done
	}
	if code == held {
		scene.Record("held: the process stayed below %d MB", stage.MemoryMB)
	}
	return code, nil
}
