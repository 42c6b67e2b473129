package zfproxy_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfinstance"
	"zinniafront/core/zfmember"
	"zinniafront/core/zfpicker"
	"zinniafront/core/zfslot"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfentryloop"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfproxy"
	"zinniafront/lab/zfassert"
)

// discardMessenger drops all messages; these tests run a single instance.
type discardMessenger struct{}

func (discardMessenger) Send([]zf.Envelope) {}

// testProxy is the proxy of one instance in front of test backend servers.
type testProxy struct {
	address     netip.AddrPort
	loop        *zfentryloop.Loop
	counters    *zfcounter.Set
	serverCount uint64
}

func testBundle() *zfbundle.Bundle {
	bundle := &zfbundle.Bundle{
		Name:    "test",
		Version: 1,
		Centres: []zfbundle.Centre{{Name: "one", Region: "r"}},
		Limits:  zfbundle.DefaultLimits(),
	}
	bundle.Limits.Wait = 100 * time.Millisecond
	bundle.Limits.Body = 64
	for i, name := range []zf.ServiceName{"orders", "images"} {
		bundle.Services = append(bundle.Services, zfbundle.Service{
			Name:       name,
			Addresses:  []netip.Addr{netip.AddrFrom4([4]byte{198, 51, 100, byte(i)})},
			Ports:      []uint16{443},
			Protocol:   zf.ProtocolTCP,
			AtMostOnce: name == "orders",
			Idle:       time.Minute,
			Slots:      64,
			Pool: zfbundle.Pool{
				Capacity: zf.Capacity{
					Slots:       1,
					Connections: 10,
				},
			},
		})
	}
	return bundle
}

func newTestProxy(t *testing.T) *testProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	p := &testProxy{
		address:  netip.MustParseAddrPort(listener.Addr().String()),
		counters: zfcounter.New(),
	}
	zfassert.NoError(t, listener.Close())
	member := zf.MemberView{
		Name:        "e",
		Incarnation: 1,
	}
	world := zfinstance.New(zfinstance.Config{
		Member: zfmember.DefaultConfig(member, nil),
		Mapper: zfslot.New(zfslot.DefaultConfig(1, time.Now())),
		Picker: zfpicker.TwoChoices{},
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	logger := zfevent.New(zfevent.Config{
		Output: io.Discard,
		Level:  "error",
	})
	p.loop = zfentryloop.New(zfentryloop.Config{
		World:     world,
		Messenger: discardMessenger{},
		Clock:     zfclock.System{},
		Counters:  p.counters,
		Logger:    logger,
		Ready:     &atomic.Bool{},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.loop.Run(ctx)
	bundle := testBundle()
	p.loop.ApplyState(zfinstance.State{
		Sequence: 1,
		Bundle:   bundle,
	})
	proxy, err := zfproxy.Listen(zfproxy.Config{
		Address:  p.address,
		Instance: "e",
		Loop:     p.loop,
		Bundle:   func() *zfbundle.Bundle { return bundle },
		Clock:    zfclock.System{},
		Counters: p.counters,
		Logger:   logger,
	})
	zfassert.NoError(t, err)
	go proxy.Run()
	t.Cleanup(func() { _ = proxy.Close(context.Background()) })
	return p
}

// addServer adds a backend server for a service.
func (p *testProxy) addServer(t *testing.T, service zf.ServiceName, handler http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	p.announce(service, netip.MustParseAddrPort(server.Listener.Addr().String()))
}

func (p *testProxy) announce(service zf.ServiceName, web netip.AddrPort) {
	p.serverCount++
	p.loop.Announce(zf.Announcement{
		Server:  zf.ServerName(fmt.Sprintf("s%d", p.serverCount)),
		Service: service,
		Centre:  "one",
		Address: web,
		Web:     web,
		Capacity: zf.Capacity{
			Slots:       1,
			Connections: 10,
		},
		State:    zf.ServerWarm,
		Sequence: 1,
	})
}

// echo responds with the request's id, path and body, as a backend server does.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(zfproxy.HeaderRequestID, r.Header.Get(zfproxy.HeaderRequestID))
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s", r.URL.Path, body)
}

func (p *testProxy) post(t *testing.T, service, body string, header ...string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+p.address.String()+"/x", strings.NewReader(body))
	zfassert.NoError(t, err)
	request.Host = service
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	zfassert.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	zfassert.NoError(t, err)
	return response.StatusCode, string(text)
}

func assertProblem(t *testing.T, status int, body string, reason zf.Reason, run string) {
	t.Helper()
	var problem zfproxy.Problem
	zfassert.NoError(t, json.Unmarshal([]byte(body), &problem))
	zfassert.Equal(t, "type", problem.Type, "urn:zinniafront:"+reason.String())
	zfassert.Equal(t, "run", problem.Run, run)
	zfassert.Equal(t, "status", problem.Status, status)
}

func TestProxy(t *testing.T) {
	t.Run("the complete response is returned", func(t *testing.T) {
		p := newTestProxy(t)
		p.addServer(t, "images", echo)
		status, body := p.post(t, "images", "hello")
		zfassert.Equal(t, "status", status, http.StatusOK)
		zfassert.Equal(t, "body", body, "/x hello")
	})
	t.Run("refusals before dispatch", func(t *testing.T) {
		p := newTestProxy(t)
		status, body := p.post(t, "nothing", "")
		assertProblem(t, status, body, zf.ReasonNoSuchService, "no")
		status, body = p.post(t, "orders", "")
		assertProblem(t, status, body, zf.ReasonKeyMissing, "no")
		status, body = p.post(t, "images", strings.Repeat("x", 65))
		assertProblem(t, status, body, zf.ReasonBodyTooLarge, "no")
		status, body = p.post(t, "images", "", zfproxy.HeaderRequestTimeout, "soon")
		assertProblem(t, status, body, zf.ReasonBadField, "no")
		status, body = p.post(t, "images", "")
		assertProblem(t, status, body, zf.ReasonWaitExpired, "no")
	})
	t.Run("a slot is held by one request at a time", func(t *testing.T) {
		p := newTestProxy(t)
		release := make(chan struct{})
		p.addServer(t, "images", func(w http.ResponseWriter, r *http.Request) {
			<-release
			echo(w, r)
		})
		first := make(chan int, 1)
		go func() {
			status, _ := p.post(t, "images", "")
			first <- status
		}()
		for p.counters.RequestTaken.Count() == 0 {
			time.Sleep(time.Millisecond)
		}
		status, body := p.post(t, "images", "")
		assertProblem(t, status, body, zf.ReasonWaitExpired, "no")
		close(release)
		zfassert.Equal(t, "first", <-first, http.StatusOK)
	})
	t.Run("a truncated response is never forwarded", func(t *testing.T) {
		p := newTestProxy(t)
		p.addServer(t, "images", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(zfproxy.HeaderRequestID, r.Header.Get(zfproxy.HeaderRequestID))
			w.Header().Set("Content-Length", "50")
			_, _ = io.WriteString(w, "half")
		})
		status, body := p.post(t, "images", "")
		assertProblem(t, status, body, zf.ReasonAnswerCut, "unknown")
	})
	t.Run("a response to another request is dropped", func(t *testing.T) {
		p := newTestProxy(t)
		p.addServer(t, "images", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(zfproxy.HeaderRequestID, "other")
		})
		status, body := p.post(t, "images", "")
		assertProblem(t, status, body, zf.ReasonAnswerCrossed, "unknown")
	})
	t.Run("a request that was not sent is retried at another backend server", func(t *testing.T) {
		p := newTestProxy(t)
		p.announce("orders", netip.MustParseAddrPort("127.0.0.1:1"))
		p.addServer(t, "orders", echo)
		for range 8 {
			status, _ := p.post(t, "orders", "", zfproxy.HeaderIdempotencyKey, "k")
			zfassert.Equal(t, "status", status, http.StatusOK)
		}
	})
	t.Run("a request with a key is never sent twice", func(t *testing.T) {
		p := newTestProxy(t)
		var runs atomic.Int32
		p.addServer(t, "orders", func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		})
		for n := range int32(5) {
			status, body := p.post(t, "orders", "", zfproxy.HeaderIdempotencyKey, "k")
			assertProblem(t, status, body, zf.ReasonUpstreamFailed, "unknown")
			zfassert.Equal(t, "runs", runs.Load(), n+1)
		}
	})
}

func TestErrorCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	zfassert.NoError(t, err)
	for _, reason := range zfproxy.Reasons() {
		t.Run(reason.String(), func(t *testing.T) {
			zfassert.Contains(t, string(page), "| `"+reason.String()+"` |")
		})
	}
	t.Run("the page lists no other reason", func(t *testing.T) {
		zfassert.Equal(t, "rows", strings.Count(string(page), "\n| `"), len(zfproxy.Reasons()))
	})
}
