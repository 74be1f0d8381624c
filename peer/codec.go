package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/wire"
)

const (
	_protocol         = 1
	_helloTimeout     = 2 * time.Second
	_writeTimeout     = 2 * time.Second
	_maxMessageBytes  = 8 << 20
	_readBufferBytes  = 4 << 10
	_writeBufferBytes = 4 << 10
	// _suffix is the method name that net/rpc wants behind a service name.
	_suffix = ".Call"
)

// connection is a stream of gob values with its traffic counted. It is the
// base of the codecs of both sides.
type connection struct {
	net.Conn

	in       *countingReader
	decoder  *gob.Decoder
	out      *countingWriter
	encoder  *gob.Encoder
	registry metrics.Registry
	received atomic.Int64
}

func newConnection(conn net.Conn, registry metrics.Registry) *connection {
	in := &countingReader{Reader: bufio.NewReaderSize(conn, _readBufferBytes)}
	out := &countingWriter{Writer: bufio.NewWriterSize(conn, _writeBufferBytes)}

	return &connection{
		Conn:     conn,
		in:       in,
		decoder:  gob.NewDecoder(in),
		out:      out,
		encoder:  gob.NewEncoder(out),
		registry: registry,
	}
}

// greet exchanges hellos. Both sides send first and then read: a hello fits
// into the buffers of a connection.
func (c *connection) greet(self wire.Hello) (wire.Hello, error) {
	var other wire.Hello
	if err := c.SetDeadline(time.Now().Add(_helloTimeout)); err != nil {
		return other, eris.Wrap(err, "peer: hello")
	}
	self.Protocol = _protocol
	if err := c.send("Hello", self); err != nil {
		return other, eris.Wrap(err, "peer: hello")
	}
	if err := c.decoder.Decode(&other); err != nil {
		return other, eris.Wrap(err, "peer: hello")
	}
	c.countReceived("Hello")
	if other.Protocol != _protocol {
		return other, eris.Errorf("peer: %s speaks protocol %d, not %d", other.Name, other.Protocol, _protocol)
	}

	return other, eris.Wrap(c.SetDeadline(time.Time{}), "peer: hello")
}

// send writes values as one counted message.
func (c *connection) send(method string, values ...any) error {
	c.out.n = 0
	for _, value := range values {
		if err := c.encoder.Encode(value); err != nil {
			return err
		}
	}
	if err := c.out.Flush(); err != nil {
		return err
	}
	c.count("Sent", method, c.out.n)

	return nil
}

func (c *connection) countReceived(method string) {
	c.received.Add(1)
	c.count("Received", method, c.in.n)
	c.in.n = 0
}

func (c *connection) count(direction, method string, bytes int) {
	metrics.GetOrRegisterCounter("Peer.Bytes"+direction+"."+method, c.registry).Inc(int64(bytes))
	metrics.GetOrRegisterCounter("Peer.Messages"+direction+"."+method, c.registry).Inc(1)
}

// write is send with a time limit, so that a peer that doesn't read can't
// hold the writers up.
func (c *connection) write(serviceMethod string, header, body any) error {
	if err := c.SetWriteDeadline(time.Now().Add(_writeTimeout)); err != nil {
		return err
	}
	err := c.send(strings.TrimSuffix(serviceMethod, _suffix), header, body)
	if err != nil {
		// A message that was sent in part makes the stream unreadable.
		_ = c.Close()
	}

	return err
}

// clientCodec is the calling side of a connection.
type clientCodec struct {
	*connection

	method string
}

// WriteRequest is for net/rpc.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	return c.write(r.ServiceMethod, r, body)
}

// ReadResponseHeader is for net/rpc.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	err := c.decoder.Decode(r)
	c.method = strings.TrimSuffix(r.ServiceMethod, _suffix)

	return err
}

// ReadResponseBody is for net/rpc.
func (c *clientCodec) ReadResponseBody(body any) error {
	defer c.countReceived(c.method)

	return c.decoder.Decode(body)
}

// serverCodec is the serving side of a connection. It reads no further
// request while the bound of running ones is reached.
type serverCodec struct {
	*connection

	method  string
	running chan struct{}
}

// ReadRequestHeader is for net/rpc.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	err := c.decoder.Decode(r)
	c.method = strings.TrimSuffix(r.ServiceMethod, _suffix)

	return err
}

// ReadRequestBody is for net/rpc.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decoder.Decode(body)
	c.countReceived(c.method)
	c.running <- struct{}{}

	return err
}

// WriteResponse is for net/rpc, which calls it once for each request read.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.running

	return c.write(r.ServiceMethod, r, body)
}

// countingReader counts the bytes of the message being read and refuses
// oversized ones. It is an io.ByteReader, so that gob reads no further than
// the message.
type countingReader struct {
	*bufio.Reader

	n int
}

// Read counts.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.n += n
	if r.n > _maxMessageBytes {
		return 0, eris.Errorf("peer: message over %d bytes", _maxMessageBytes)
	}

	return n, err
}

// ReadByte counts.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.n++
	}

	return b, err
}

// countingWriter counts the bytes of the message being written.
type countingWriter struct {
	*bufio.Writer

	n int
}

// Write counts.
func (w *countingWriter) Write(p []byte) (int, error) {
	w.n += len(p)

	return w.Writer.Write(p)
}
