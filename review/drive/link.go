package main

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

// cutPoll is how often a held connection looks whether the cut is over.
const cutPoll = 10 * time.Millisecond

// links forwards the connections between the system's processes, and can cut one machine
// off from all control machines. It tells the connections of that machine by its name,
// which every question to a control machine has.
type links struct {
	mu        sync.Mutex
	cut       string
	listeners []net.Listener
}

// forward forwards connections from one address to another.
func (links *links) forward(from, to string) error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", from)
	if err != nil {
		return err
	}
	links.listeners = append(links.listeners, listener)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go links.join(accepted, to)
		}
	}()
	return nil
}

// join connects both sides of a connection until one of them ends.
func (links *links) join(accepted net.Conn, to string) {
	var dialer net.Dialer
	opened, err := dialer.DialContext(context.Background(), "tcp4", to)
	if err != nil {
		_ = accepted.Close()
		return
	}
	owner := &owner{}
	go links.copy(accepted, opened, owner, true)
	links.copy(opened, accepted, owner, false)
}

// owner is the machine that opened a connection.
type owner struct {
	mu   sync.Mutex
	name string
}

// learn takes the machine's name from what it sends.
func (owner *owner) learn(cut string, sent []byte) {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if cut != "" && bytes.Contains(sent, []byte(cut)) {
		owner.name = cut
	}
}

func (owner *owner) is(name string) bool {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	return name != "" && owner.name == name
}

// copy passes bytes on, and holds those of the machine that is cut off.
func (links *links) copy(from, to net.Conn, owner *owner, asks bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		if asks {
			owner.learn(links.cutOff(), buffer[:size])
		}
		for owner.is(links.cutOff()) {
			time.Sleep(cutPoll)
		}
		if _, failure := to.Write(buffer[:size]); err != nil || failure != nil {
			return
		}
	}
}

func (links *links) cutOff() string {
	links.mu.Lock()
	defer links.mu.Unlock()
	return links.cut
}

// setCut cuts a machine off; an empty name ends the cut.
func (links *links) setCut(name string) {
	links.mu.Lock()
	defer links.mu.Unlock()
	links.cut = name
}

func (links *links) stop() {
	for _, listener := range links.listeners {
		_ = listener.Close()
	}
}
