package main

import (
	"net"
	"sync"
)

// link is a proxy between one router and the store. Silence makes the channels that
// are open then deliver nothing more, in either direction, and leaves them open; new
// ones work.
type link struct {
	target  string
	address string

	mu    sync.Mutex
	epoch int
}

// newLink starts a link to target.
func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &link{target: target, address: listener.Addr().String()}
	go link.run(listener)
	return link, nil
}

// silence silences the open channels.
func (link *link) silence() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.epoch++
}

func (link *link) current() int {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.epoch
}

func (link *link) run(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go link.serve(client)
	}
}

// serve forwards one channel until it ends.
func (link *link) serve(client net.Conn) {
	opened := link.current()
	server, err := net.Dial("tcp", link.target)
	if err != nil {
		_ = client.Close()
		return
	}
	go link.forward(opened, server, client)
	link.forward(opened, client, server)
}

// forward copies one direction. Bytes that arrive after the channel went silent are
// dropped.
func (link *link) forward(opened int, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		silent := link.current() != opened
		if count > 0 && !silent {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}
