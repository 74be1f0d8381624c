package standin

import (
	"context"
	"encoding/json"
	"net"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const _maxRequestBytes = 16 << 20

// server is an HTTP server on one address, shared by the stand-ins. ctx ends
// when the server closes, so that handlers that wait return.
type server struct {
	address string
	ln      net.Listener
	ctx     context.Context
	cancel  context.CancelFunc
	http    *fasthttp.Server
	wg      conc.WaitGroup
	conns   sync.Map
}

// newServer listens on address, an IP:port whose port may be 0, and serves
// handle.
func newServer(address string, handle func(ctx context.Context, r *fasthttp.RequestCtx)) (*server, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "standin: listen on %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{
		address: ln.Addr().String(),
		ln:      ln,
		ctx:     ctx,
		cancel:  cancel,
		http: &fasthttp.Server{
			Handler:               func(r *fasthttp.RequestCtx) { handle(ctx, r) },
			MaxRequestBodySize:    _maxRequestBytes,
			NoDefaultServerHeader: true,
			CloseOnShutdown:       true,
		},
	}
	s.http.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		if state == fasthttp.StateNew {
			s.conns.Store(conn, true)
		}
		if state == fasthttp.StateClosed {
			s.conns.Delete(conn)
		}
	}
	s.wg.Go(func() {
		// Serve returns when the listener is closed.
		_ = s.http.Serve(ln)
	})

	return s, nil
}

// close ends what waits, and waits until all connections are closed.
func (s *server) close() {
	s.cancel()
	// Shutdown does nothing before Serve has begun, so the listener is closed
	// first. Errors of closing it twice say nothing new.
	_ = s.ln.Close()
	s.wg.Wait()
	_ = s.http.Shutdown()
}

// abort stops listening and cuts all connections, as the death of a process
// does.
func (s *server) abort() {
	s.cancel()
	_ = s.ln.Close()
	s.conns.Range(func(conn, _ any) bool {
		if c, ok := conn.(net.Conn); ok {
			_ = c.Close()
		}

		return true
	})
}

// drop closes the connection of a request without an answer.
func drop(r *fasthttp.RequestCtx) {
	r.HijackSetNoResponse(true)
	r.Hijack(func(net.Conn) {})
}

// reply answers with a value in JSON.
func reply(r *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)

		return
	}
	r.SetStatusCode(status)
	r.SetContentType("application/json")
	r.SetBody(body)
}
