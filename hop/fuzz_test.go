package hop_test

import (
	"bytes"
	"testing"

	"papayastair.dev/papayastair/hop"
)

// FuzzAnswer reads arbitrary bytes as a response. The reader must not panic, and
// the complete events must be a prefix of the body.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), 1)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nid: 1\r\n2\r\n\n\n\r\n0\r\nA: b\r\n\r\n"), 3)
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\nid: 1\r\ndata: a\r\n\r\nid: 2\n\n"), 7)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		c := hop.NewConnForTest(bytes.NewReader(text))
		if _, err := c.ReadHead("POST"); err != nil {
			return
		}
		var all, forwarded []byte
		var events hop.Events
		p := make([]byte, 1+uint(size)%64)
		for {
			n, err := c.ReadBody(p)
			all = append(all, p[:n]...)
			complete, bad := events.Feed(p[:n])
			forwarded = append(forwarded, complete...)
			if bad != nil || err != nil {
				break
			}
			if n == 0 {
				t.Fatal("read neither a byte nor an error")
			}
		}
		if !bytes.HasPrefix(all, forwarded) {
			t.Errorf("forwarded %q, want a prefix of %q", forwarded, all)
		}
	})
}
