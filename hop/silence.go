package hop

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// _silence ends a connection to a backend server that acknowledges nothing.
	// A peer behind a cut is out of reach of any rule after a few seconds.
	_silence    = 3 * time.Second
	_probeIdle  = 2 * time.Second
	_probeEvery = time.Second
	_probeCount = 2
)

// guardSilence lets the kernel end a connection whose peer has gone silent
// without a reset: one that for so long acknowledges nothing, or reads nothing of
// what waits for it.
func guardSilence(nc net.Conn, silence time.Duration) error {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nil
	}
	keep := net.KeepAliveConfig{
		Enable:   true,
		Idle:     _probeIdle,
		Interval: _probeEvery,
		Count:    _probeCount,
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})

	return errors.Join(err, set, tcp.SetKeepAliveConfig(keep))
}

// isQuiet says that an idle connection is open and has nothing to read: the
// peer has neither closed it nor sent bytes that belong to no request.
func isQuiet(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)

		return true
	})

	return err == nil && quiet
}

// isClosed says that the peer has closed the connection, and that all it sent
// before was read. It may be asked while another goroutine reads: that one may
// not have had the processor since.
func isClosed(nc net.Conn) bool {
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

// hasBytes says that bytes of the peer wait to be read.
func hasBytes(nc net.Conn) bool {
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})

	return err == nil && waiting
}
