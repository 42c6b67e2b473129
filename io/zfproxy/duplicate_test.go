package zfproxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	zf "zinniafront"
	"zinniafront/io/zfproxy"
	"zinniafront/lab/zfassert"
)

// repeatingServer is a backend server that sends its answer to the first request of a
// connection a second time, late: once it has received the second request.
type repeatingServer struct{ body string }

// serve answers the requests of one connection.
func (s repeatingServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var first string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", zfproxy.HeaderRequestID,
			request.Header.Get(zfproxy.HeaderRequestID), len(s.body), s.body)
		if first != "" {
			answer = first + answer
		}
		first = answer
		if _, err := conn.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// start serves connections until the test ends.
func (s repeatingServer) start(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestSecondCopyOfAnswer(t *testing.T) {
	for _, body := range []string{"", "the answer"} {
		t.Run(fmt.Sprintf("of %d bytes", len(body)), func(t *testing.T) {
			p := newTestProxy(t)
			p.announce("images", repeatingServer{
				body: body,
			}.start(t))
			status, got := p.post(t, "images", "")
			zfassert.Equal(t, "first status", status, http.StatusOK)
			zfassert.Equal(t, "first answer", got, body)
			// The next caller must not get the copy: it gets its own answer, or is told
			// that the outcome is unknown.
			crossed := 0
			for range 6 {
				status, got = p.post(t, "images", "")
				if status == http.StatusOK {
					zfassert.Equal(t, "answer", got, body)
					continue
				}
				crossed++
				assertProblem(t, status, got, zf.ReasonAnswerCrossed, "unknown")
			}
			zfassert.True(t, "a connection was used again", crossed > 0)
		})
	}
}
