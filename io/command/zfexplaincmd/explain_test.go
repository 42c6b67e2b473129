package zfexplaincmd_test

import (
	"bytes"
	"cmp"
	"net"
	"net/netip"
	"net/rpc"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	zf "zinniafront"
	"zinniafront/core/zfquorum"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/command/zfrootcmd"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

// instance answers each explain call with the same reply.
type instance struct {
	reply zfcluster.ExplainReply
	err   error
	args  chan zfcluster.ExplainArgs
}

func (instance) Deliver([]zfquorum.Message) {}

func (instance) Ask(zfcluster.AskArgs) (zfcluster.AskReply, error) { return zfcluster.AskReply{}, nil }

func (instance) Fetch(zfcluster.FetchArgs) (zfcluster.FetchReply, error) {
	return zfcluster.FetchReply{}, nil
}

func (instance) Offer(netip.AddrPort) {}

func (i instance) Explain(args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	i.args <- args
	return i.reply, i.err
}

// earlierVersion serves the calls of an instance that can't explain.
type earlierVersion struct{}

// Offer handles an address as all versions do.
func (earlierVersion) Offer(zfcluster.OfferArgs, *zfcluster.Empty) error { return nil }

// serve serves an instance and returns its address.
func serve(t testing.TB, i instance) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	zfassert.NoError(t, listener.Close())
	server, err := zfcluster.Listen(zfcluster.ServerConfig{
		Address: address,
		Handler: i,
	})
	zfassert.NoError(t, err)
	go server.Run()
	t.Cleanup(func() { _ = server.Close() })
	return address.String()
}

// assertRun runs a command line, checks its exit code and returns its output.
func assertRun(t testing.TB, want int, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	code := zfrootcmd.Main(&zfcmd.Factory{
		Streams: zfcmd.Streams{
			Out: &out,
			Err: &out,
		},
		Clock: zfclock.System{},
	}, args)
	zfassert.Equal(t, "exit code of "+out.String(), code, want)
	return out.String()
}

func forwarded(name zf.InstanceName, server zf.ServerName) zf.Explanation {
	return zf.Explanation{
		Instance:   name,
		RouteKnown: true,
		Service:    "orders",
		Target:     400 * time.Millisecond,
		Departure: &zf.Departure{
			Service: "orders",
			To: []zf.CentreShare{{
				Centre: "two",
				Share:  0.2,
			}},
			Home: 300 * time.Millisecond,
		},
		Limit: &zf.AdmissionLimit{
			Service: "orders",
			Share:   0.9,
		},
		Attempts: []zf.ExplainedAttempt{{
			Action: zf.ActionForward,
			Server: server,
			Candidates: []zf.ExplainedServer{{
				Server: server,
				Tier:   "local",
				State:  zf.ServerWarm,
			}},
		}},
	}
}

func TestExplain(t *testing.T) {
	args := make(chan zfcluster.ExplainArgs, 10)
	agreeing := serve(t, instance{
		reply: zfcluster.ExplainReply{
			Explanations: []zf.Explanation{forwarded("e1", "s1"), forwarded("e2", "s1")},
			Silent:       1,
		},
		args: args,
	})
	t.Run("the flow is passed on, and the backend server is printed", func(t *testing.T) {
		out := assertRun(t, zfcmd.ExitOK, "explain", "198.51.100.1:443", "--caller", "203.0.113.7:40001", "--centre", "one", "--all-instances", "--instance", agreeing)
		zfassert.Contains(t, out, "forward s1")
		zfassert.Contains(t, out, "0.90 of new flows are admitted")
		zfassert.Contains(t, out, "instances: 2, silent 1, agree true")
		got := <-args
		zfassert.Equal(t, "caller", got.Flow.Source, netip.MustParseAddrPort("203.0.113.7:40001"))
		zfassert.Equal(t, "route", got.Flow.Destination, netip.MustParseAddrPort("198.51.100.1:443"))
		zfassert.True(t, "all of data centre one", got.All && got.Centre == "one")
	})
	t.Run("instances that disagree are shown", func(t *testing.T) {
		address := serve(t, instance{
			reply: zfcluster.ExplainReply{
				Explanations: []zf.Explanation{forwarded("e1", "s1"), forwarded("e2", "s2")},
			},
			args: args,
		})
		out := assertRun(t, zfcmd.ExitOK, "explain", "198.51.100.1:443", "--json", "--instance", address)
		document, err := jsonschema.UnmarshalJSON(strings.NewReader(out))
		zfassert.NoError(t, err)
		schema, err := jsonschema.NewCompiler().Compile(filepath.Join("..", "..", "..", "docs", "explain.schema.json"))
		zfassert.NoError(t, err)
		zfassert.NoError(t, schema.Validate(document))
		zfassert.Equal(t, "agree", document.(map[string]any)["agree"], any(false))
	})
	for _, c := range []struct {
		name     string
		instance instance
		caller   string
		route    string
		code     int
		part     string
	}{
		{
			name: "an unknown route",
			instance: instance{
				reply: zfcluster.ExplainReply{
					Explanations: []zf.Explanation{{
						Instance: "e1",
					}},
				},
			},
			code: zfcmd.ExitUnknown,
			part: "no route has the address 198.51.100.1:443",
		},
		{
			name: "no entry instance answers",
			instance: instance{
				reply: zfcluster.ExplainReply{
					Silent: 3,
				},
			},
			code: zfcmd.ExitUnreachable,
			part: "3 entry instances didn't answer",
		},
		{
			name: "the instance refuses",
			instance: instance{
				err: errors.New("no entry instance of the data centre subscribes here: nowhere"),
			},
			code: zfcmd.ExitError,
			part: "nowhere",
		},
		{
			name: "an instance that has just started",
			instance: instance{
				reply: zfcluster.ExplainReply{
					Explanations: []zf.Explanation{{
						Instance: "e1",
						Attempts: []zf.ExplainedAttempt{{
							Reason: zf.ReasonNotReady,
						}},
					}},
				},
			},
			code: zfcmd.ExitError,
			part: "e1: the instance has just started and has no routes yet",
		},
		{
			name: "a data centre that doesn't exist",
			code: zfcmd.ExitUnknown,
			part: "no entry instance of the data centre",
		},
		{
			name:   "a caller with port 0",
			caller: "203.0.113.7:0",
			code:   zfcmd.ExitInput,
			part:   "caller 203.0.113.7:0 has port 0",
		},
		{
			name:  "a route with port 0",
			route: "198.51.100.1:0",
			code:  zfcmd.ExitInput,
			part:  "route 198.51.100.1:0 has port 0",
		},
		{
			name:   "an IPv6 caller of an IPv4 route",
			caller: "[2001:db8::1]:40001",
			code:   zfcmd.ExitInput,
			part:   "not both IPv4 or both IPv6",
		},
		{
			name:   "a caller that is no address",
			caller: "somebody",
			code:   zfcmd.ExitInput,
			part:   `caller "somebody" is not an IP address`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.instance.args = args
			out := assertRun(t, c.code, "explain", cmp.Or(c.route, "198.51.100.1:443"), "--caller", c.caller, "--instance", serve(t, c.instance))
			zfassert.Contains(t, out, c.part)
		})
	}
	t.Run("others that are silent are counted if one answers", func(t *testing.T) {
		address := serve(t, instance{
			reply: zfcluster.ExplainReply{
				Explanations: []zf.Explanation{forwarded("e1", "s1")},
				Silent:       2,
			},
			args: args,
		})
		zfassert.Contains(t, assertRun(t, zfcmd.ExitOK, "explain", "198.51.100.1:443", "--instance", address), "silent 2")
	})
	t.Run("an instance of an earlier version", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		zfassert.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		server := rpc.NewServer()
		zfassert.NoError(t, server.RegisterName("Cluster", &earlierVersion{}))
		go func() {
			if conn, err := listener.Accept(); err == nil {
				server.ServeConn(conn)
			}
		}()
		out := assertRun(t, zfcmd.ExitError, "explain", "198.51.100.1:443", "--instance", listener.Addr().String())
		zfassert.Contains(t, out, "of a version without this call")
	})
	t.Run("an instance that can't be reached", func(t *testing.T) {
		out := assertRun(t, zfcmd.ExitUnreachable, "explain", "198.51.100.1:443", "--instance", "127.0.0.1:1")
		zfassert.Contains(t, out, "no instance answered")
	})
}
