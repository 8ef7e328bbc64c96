package main

import (
	"fmt"
	"net/netip"
	"syscall"
)

// hole is a loopback address at which new connections get no answer, like that of a
// machine without power: a listener whose queue is full, so that the kernel drops further
// opening packets.
type hole struct {
	sockets []int
}

// fillers is the number of connections that fill the queue of a listener with the least
// backlog.
const fillers = 3

func newHole(address string) (*hole, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	target := &syscall.SockaddrInet4{Addr: parsed.Addr().As4(), Port: int(parsed.Port())}
	made := &hole{}
	listener, err := made.socket()
	if err != nil {
		return nil, err
	}
	if err := syscall.SetsockoptInt(listener, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(listener, target); err != nil {
		return nil, fmt.Errorf("bind %s: %w", address, err)
	}
	if err := syscall.Listen(listener, 0); err != nil {
		return nil, err
	}
	for range fillers {
		filler, err := made.socket()
		if err != nil {
			return nil, err
		}
		if err := syscall.SetNonblock(filler, true); err != nil {
			return nil, err
		}
		// The connection is in progress, or stays so once the queue is full.
		_ = syscall.Connect(filler, target)
	}
	return made, nil
}

func (hole *hole) socket() (int, error) {
	opened, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err == nil {
		hole.sockets = append(hole.sockets, opened)
	}
	return opened, err
}

func (hole *hole) close() {
	for _, opened := range hole.sockets {
		// Nothing is lost with these sockets.
		_ = syscall.Close(opened)
	}
}
