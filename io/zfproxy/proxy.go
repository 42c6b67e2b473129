// Package zfproxy takes requests over HTTP, gets a slot of a backend server
// for each and hands the whole answer to the caller that asked.
package zfproxy

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfrequest"
	"zinniafront/io/zfcounter"
	"zinniafront/io/zfentryloop"
	"zinniafront/io/zfevent"
)

// The headers that the front reads and writes.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestTimeout = "Request-Timeout"
	HeaderRequestID      = "Request-Id"
)

const (
	maxKeyBytes    = 256
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = time.Minute
	dialTimeout    = time.Second
	maxAttempts    = 3
)

// Config holds what a front is built from.
type Config struct {
	Address  netip.AddrPort
	Instance zf.InstanceName
	// Incarnation makes request ids of a restarted instance new.
	Incarnation uint64
	Loop        *zfentryloop.Loop
	// Bundle returns the bundle in force, or nil.
	Bundle   func() *zfbundle.Bundle
	Clock    zf.Clock
	Counters *zfcounter.Set
	Logger   *zfevent.Logger
}

// Proxy serves requests.
type Proxy struct {
	config    Config
	listener  net.Listener
	server    *http.Server
	transport *http.Transport
	nextID    atomic.Uint64
}

// dialError tells that a request was certainly not sent.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "not sent: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// Listen opens the socket.
func Listen(config Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", config.Address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for requests")
	}
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	proxy := &Proxy{
		config:   config,
		listener: listener,
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, &dialError{
						cause: err,
					}
				}
				return conn, nil
			},
			DisableCompression:  true,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     idleTimeout,
		},
	}
	proxy.server = &http.Server{
		Handler:           proxy,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return proxy, nil
}

// Run serves until the front is closed.
func (p *Proxy) Run() {
	// Serve always returns an error; after Close it is not news.
	_ = p.server.Serve(p.listener)
}

// Close ends the front once requests under way have been answered, or ctx ends.
func (p *Proxy) Close(ctx context.Context) error {
	err := p.server.Shutdown(ctx)
	p.transport.CloseIdleConnections()
	return errors.Wrap(err, "close requests")
}

// exchange is one request on its way.
type exchange struct {
	service  *zfbundle.Service
	limits   zfbundle.Limits
	request  *http.Request
	body     []byte
	id       string
	deadline time.Time
	avoid    []zf.ServerID
}

// bufferedResponse is a whole answer.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP implements http.Handler. The Host header names the service.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.config.Counters.RequestTaken.Inc(1)
	x, reason := p.prepare(w, r)
	if reason != zf.ReasonNone {
		p.refuse(w, reason, time.Second)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), x.deadline.Sub(p.config.Clock.Now()))
	defer cancel()
	for attempt := 1; ; attempt++ {
		buffered, decision := p.attempt(ctx, x)
		switch {
		case decision.Reason == zf.ReasonNone:
			p.config.Counters.RequestDone.Inc(1)
			buffered.write(w)
			return
		case decision.Reason == zf.ReasonSendFailed && attempt < maxAttempts && ctx.Err() == nil:
			p.config.Counters.RequestRetried.Add(zf.ReasonRetryNotSent)
			p.config.Logger.Entry(zfevent.RequestRetried).Str("request", x.id).Msg("")
		default:
			p.refuse(w, decision.Reason, decision.RetryAfter)
			return
		}
	}
}

func (p *Proxy) refuse(w http.ResponseWriter, reason zf.Reason, retryAfter time.Duration) {
	p.config.Counters.RequestRefused.Add(reason)
	p.config.Logger.Entry(zfevent.RequestRefused).Str("reason", reason.String()).Msg("")
	writeProblem(w, reason, retryAfter)
}

// prepare checks a request and reads its body.
func (p *Proxy) prepare(w http.ResponseWriter, r *http.Request) (*exchange, zf.Reason) {
	bundle := p.config.Bundle()
	if bundle == nil {
		return nil, zf.ReasonNotReady
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	service := bundle.Find(zf.ServiceName(host))
	if service == nil {
		return nil, zf.ReasonNoSuchService
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	switch {
	case service.AtMostOnce && key == "":
		return nil, zf.ReasonKeyMissing
	case len(key) > maxKeyBytes:
		return nil, zf.ReasonBadField
	}
	timeout := bundle.Limits.Deadline
	if text := r.Header.Get(HeaderRequestTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return nil, zf.ReasonBadField
		}
		timeout = min(timeout, requested)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bundle.Limits.Body))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, zf.ReasonBodyTooLarge
	case err != nil:
		return nil, zf.ReasonCallerGone
	}
	return &exchange{
		service:  service,
		limits:   bundle.Limits,
		request:  r,
		body:     body,
		id:       p.newID(),
		deadline: p.config.Clock.Now().Add(timeout),
	}, zf.ReasonNone
}

// newID returns an id that no other request has.
func (p *Proxy) newID() string {
	return string(p.config.Instance) + "-" + strconv.FormatUint(p.config.Incarnation, 36) + "-" +
		strconv.FormatUint(p.nextID.Add(1), 36)
}

// attempt gets a slot, sends the request and returns the whole answer, or a
// refusal.
func (p *Proxy) attempt(ctx context.Context, x *exchange) (*bufferedResponse, zfrequest.Decision) {
	grant, err := p.config.Loop.Acquire(ctx, zfrequest.Request{
		Service:  x.service.Name,
		Deadline: x.deadline,
		Avoid:    x.avoid,
	})
	if err != nil {
		reason := zf.ReasonDeadline
		switch {
		case errors.Is(err, context.Canceled):
			reason = zf.ReasonCallerGone
		case errors.Is(err, zfentryloop.ErrStopped):
			reason = zf.ReasonNotReady
		}
		return nil, zfrequest.Decision{
			Reason: reason,
		}
	}
	if !grant.Granted {
		return nil, grant.Decision
	}
	defer p.config.Loop.Release(grant.ID)
	buffered, reason := p.dispatch(ctx, x, grant.Web)
	if reason == zf.ReasonSendFailed {
		x.avoid = append(x.avoid, grant.Server)
	}
	return buffered, zfrequest.Decision{
		Reason:     reason,
		RetryAfter: time.Second,
	}
}

// dispatch sends the request to a backend server and reads its whole answer.
func (p *Proxy) dispatch(ctx context.Context, x *exchange, web netip.AddrPort) (*bufferedResponse, zf.Reason) {
	url := *x.request.URL
	url.Scheme = "http"
	url.Host = web.String()
	// The body hides its type, so that the transport can't send it a second
	// time on its own after a connection was lost.
	body := struct{ io.Reader }{bytes.NewReader(x.body)}
	out, err := http.NewRequestWithContext(ctx, x.request.Method, url.String(), io.NopCloser(body))
	if err != nil {
		return nil, zf.ReasonBadField
	}
	out.ContentLength = int64(len(x.body))
	out.Host = x.request.Host
	copyHeader(out.Header, x.request.Header)
	out.Header.Set(HeaderRequestID, x.id)
	out.Header.Set(HeaderRequestTimeout, x.deadline.Sub(p.config.Clock.Now()).String())
	response, err := p.transport.RoundTrip(out)
	if err != nil {
		var dial *dialError
		if errors.As(err, &dial) {
			return nil, zf.ReasonSendFailed
		}
		return nil, zf.ReasonUpstreamFailed
	}
	defer response.Body.Close()
	if id := response.Header.Get(HeaderRequestID); id != x.id {
		return nil, zf.ReasonAnswerCrossed
	}
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, x.limits.Body+1))
	switch {
	case err != nil:
		return nil, zf.ReasonAnswerCut
	case int64(len(responseBody)) > x.limits.Body:
		return nil, zf.ReasonTooLarge
	}
	return &bufferedResponse{
		status: response.StatusCode,
		header: response.Header,
		body:   responseBody,
	}, zf.ReasonNone
}

func (b *bufferedResponse) write(w http.ResponseWriter) {
	copyHeader(w.Header(), b.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	w.WriteHeader(b.status)
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write(b.body)
}

// hopByHopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !hopByHopHeaders[name] {
			to[name] = values
		}
	}
}
