package main

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// pausableListener is a listener that can stop taking connections, so that attempts to connect get
// no answer: its queue of new connections is made short and filled.
type pausableListener struct {
	net.Listener
	mu      sync.Mutex
	resumed chan struct{} // open while paused; nil otherwise
	fillers []net.Conn
}

// Accept holds a connection back while the listener is paused.
func (l *pausableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
	return c, err
}

func (l *pausableListener) setQueue(n int) error {
	raw, err := l.Listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var result error
	if err := raw.Control(func(fd uintptr) { result = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return result
}

func (l *pausableListener) pause() error {
	l.mu.Lock()
	l.resumed = make(chan struct{})
	l.mu.Unlock()
	if err := l.setQueue(0); err != nil {
		return err
	}
	for range 8 {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), 50*time.Millisecond)
		if err != nil {
			return nil // the queue is full
		}
		l.fillers = append(l.fillers, c)
	}
	return errNotReady
}

func (l *pausableListener) resume() error {
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers = nil
	err := l.setQueue(128)
	l.mu.Lock()
	close(l.resumed)
	l.resumed = nil
	l.mu.Unlock()
	return err
}
