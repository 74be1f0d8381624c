package hop

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// _backendUserTimeout is the TCP user timeout of connections to backend
	// servers. A peer that acknowledges nothing for a few seconds is taken to be
	// behind a network partition.
	_backendUserTimeout = 3 * time.Second
	_keepAliveIdle      = 2 * time.Second
	_keepAliveInterval  = time.Second
	_keepAliveCount     = 2
)

// setPeerTimeouts makes the kernel close a connection whose peer has disappeared
// without a reset: one that acknowledges nothing, or reads none of the data
// waiting for it, for userTimeout.
func setPeerTimeouts(nc net.Conn, userTimeout time.Duration) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	keep := net.KeepAliveConfig{
		Enable:   true,
		Idle:     _keepAliveIdle,
		Interval: _keepAliveInterval,
		Count:    _keepAliveCount,
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})

	return errors.Join(err, setErr, tcp.SetKeepAliveConfig(keep))
}

// isReusable reports whether an idle connection is open and has nothing to read:
// the peer has neither closed it nor sent bytes that belong to no request.
func isReusable(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(err, unix.EAGAIN)

		return true
	})

	return err == nil && reusable
}

// isPeerClosed reports whether the peer has closed the connection and everything
// it sent before was read. It may be called while another goroutine reads, which
// may not have been scheduled since the peer closed.
func isPeerClosed(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
	})

	return closed || err != nil
}

// hasPendingData reports whether bytes from the peer wait to be read.
func hasPendingData(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err == nil && n > 0
	})

	return err == nil && pending
}
