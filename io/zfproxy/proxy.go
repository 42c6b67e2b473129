// Package zfproxy is an HTTP reverse proxy. It acquires a slot of a backend server
// for each request and returns the response to the caller once it is complete.
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

// The headers that the proxy reads and writes.
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

// Config configures a Proxy.
type Config struct {
	Address  netip.AddrPort
	Instance zf.InstanceName
	// Incarnation is part of each request id, so that a restarted instance
	// reuses none.
	Incarnation uint64
	Loop        *zfentryloop.Loop
	// Bundle returns the bundle in force, or nil.
	Bundle   func() *zfbundle.Bundle
	Clock    zf.Clock
	Counters *zfcounter.Set
	Logger   *zfevent.Logger
}

// Proxy forwards requests of callers to backend servers.
type Proxy struct {
	config    Config
	listener  net.Listener
	server    *http.Server
	transport *http.Transport
	nextID    atomic.Uint64
}

// dialError means that the request was certainly not sent, as no connection was
// established.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "request not sent: " + e.cause.Error() }
func (e *dialError) Unwrap() error { return e.cause }

// Listen opens the socket and returns a proxy that is not serving yet.
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

// Run serves until the proxy is closed.
func (p *Proxy) Run() {
	// Serve always returns a non-nil error; after Close it is expected.
	_ = p.server.Serve(p.listener)
}

// Close shuts the proxy down gracefully: it returns once all requests in flight have
// been answered, or ctx is done.
func (p *Proxy) Close(ctx context.Context) error {
	err := p.server.Shutdown(ctx)
	p.transport.CloseIdleConnections()
	return errors.Wrap(err, "shut down HTTP server")
}

// exchange is one request in flight. Its id is the Request-Id; avoid holds the backend
// servers to which no connection could be established.
type exchange struct {
	service  *zfbundle.Service
	limits   zfbundle.Limits
	request  *http.Request
	body     []byte
	id       string
	deadline time.Time
	avoid    []zf.ServerID
}

// bufferedResponse is the complete response of a backend server.
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
		response, decision := p.attempt(ctx, x)
		switch {
		case decision.Reason == zf.ReasonNone:
			p.config.Counters.RequestDone.Inc(1)
			response.write(w)
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

// prepare validates a request and reads its body.
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

// newID returns a unique request id.
func (p *Proxy) newID() string {
	return string(p.config.Instance) + "-" + strconv.FormatUint(p.config.Incarnation, 36) + "-" +
		strconv.FormatUint(p.nextID.Add(1), 36)
}

// attempt acquires a slot, sends the request and returns the complete response.
// The decision's reason is ReasonNone, or says why the request was refused or failed.
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
	response, reason := p.dispatch(ctx, x, grant.Web)
	if reason == zf.ReasonSendFailed {
		x.avoid = append(x.avoid, grant.Server)
	}
	return response, zfrequest.Decision{
		Reason:     reason,
		RetryAfter: time.Second,
	}
}

// dispatch sends the request to a backend server and reads the complete response.
func (p *Proxy) dispatch(ctx context.Context, x *exchange, web netip.AddrPort) (*bufferedResponse, zf.Reason) {
	url := *x.request.URL
	url.Scheme = "http"
	url.Host = web.String()
	// The anonymous struct hides the reader's type, so that the transport can't
	// rewind the body and retry the request after a lost connection.
	body := struct{ io.Reader }{bytes.NewReader(x.body)}
	outgoing, err := http.NewRequestWithContext(ctx, x.request.Method, url.String(), io.NopCloser(body))
	if err != nil {
		return nil, zf.ReasonBadField
	}
	outgoing.ContentLength = int64(len(x.body))
	outgoing.Host = x.request.Host
	copyHeader(outgoing.Header, x.request.Header)
	outgoing.Header.Set(HeaderRequestID, x.id)
	outgoing.Header.Set(HeaderRequestTimeout, x.deadline.Sub(p.config.Clock.Now()).String())
	upstream, err := p.transport.RoundTrip(outgoing)
	if err != nil {
		var dial *dialError
		if errors.As(err, &dial) {
			return nil, zf.ReasonSendFailed
		}
		return nil, zf.ReasonUpstreamFailed
	}
	defer upstream.Body.Close()
	if id := upstream.Header.Get(HeaderRequestID); id != x.id {
		return nil, zf.ReasonAnswerCrossed
	}
	responseBody, err := io.ReadAll(io.LimitReader(upstream.Body, x.limits.Body+1))
	switch {
	case err != nil:
		return nil, zf.ReasonAnswerCut
	case int64(len(responseBody)) > x.limits.Body:
		return nil, zf.ReasonTooLarge
	}
	return &bufferedResponse{
		status: upstream.StatusCode,
		header: upstream.Header,
		body:   responseBody,
	}, zf.ReasonNone
}

func (r *bufferedResponse) write(w http.ResponseWriter) {
	copyHeader(w.Header(), r.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.status)
	// A write error means that the caller is gone, which needs no handling.
	_, _ = w.Write(r.body)
}

// hopByHopHeaders apply to a single connection and are not forwarded. Neither is
// Content-Length, which is set from the buffered body.
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
