// Package zfexplaincmd holds the explain command, which tells where a new flow would go.
package zfexplaincmd

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfcluster"
)

const (
	// callTimeout bounds the call to one instance. A control instance may wait for entry
	// instances for a second each.
	callTimeout = 5 * time.Second
	// defaultPort is the caller's port if none is given; the port selects the instance
	// that the fabric sends a flow to and the order of backend servers.
	defaultPort = 40000
)

// defaultCaller stands for any caller.
var defaultCaller = netip.MustParseAddr("192.0.2.1")

// Options holds the arguments and flags of explain.
type Options struct {
	Route    netip.AddrPort   `arg:"" help:"Address and port that the caller sends to, for instance 198.51.100.1:443."`
	Instance []netip.AddrPort `name:"instance" short:"i" env:"ZINNIAFRONT_INSTANCE" required:"" placeholder:"ADDRESS" help:"Address of an entry or control instance (listen.cluster in its settings); repeat for more, they are tried in order."`
	Caller   string           `name:"caller" placeholder:"ADDRESS[:PORT]" help:"Address of the caller, with the port if it is known."`
	Centre   zf.CentreName    `name:"centre" placeholder:"NAME" help:"Data centre where the flow arrives, if a control instance is asked; by default its own."`
	All      bool             `name:"all-instances" help:"Ask all entry instances of the data centre through a control instance, and show where they disagree."`
	JSON     bool             `name:"json" help:"Print a JSON document."`

	streams zfcmd.Streams
	clock   zf.Clock
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return "Nothing is sent to backend servers, and no table changes.\n\nExample:\n  zinniafront explain 198.51.100.1:443 --caller 203.0.113.7:40001 --instance 127.0.0.1:7480\n\n" + zfcmd.ExitHelp
}

// Run prints where the flow would go.
func (o *Options) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	o.clock = f.Clock
	return explainRun(o)
}

func explainRun(o *Options) error {
	caller, err := parseCaller(o.Caller)
	if err != nil {
		return err
	}
	if err := checkFlow(caller, o.Route); err != nil {
		return err
	}
	reply, err := o.ask(zfcluster.ExplainArgs{
		Flow: zf.Flow{
			Protocol:    zf.ProtocolTCP,
			Source:      caller,
			Destination: o.Route,
		},
		Centre: o.Centre,
		All:    o.All,
	})
	if err != nil {
		return err
	}
	switch {
	case len(reply.Explanations) > 0:
	case reply.Silent == 0:
		return errors.Wrapf(zfcmd.ErrUnknown, "no entry instance of the data centre is known there (%s)", cmp.Or(o.Centre, "its own"))
	default:
		return errors.Wrapf(zfcmd.ErrUnreachable, "%d entry instances didn't answer", reply.Silent)
	}
	document := newDocument(reply)
	if o.JSON {
		err = o.streams.PrintJSON(document)
	} else {
		printDocument(o.streams, document)
	}
	switch {
	case err != nil || document.known():
	case document.starting():
		err = errors.Wrap(errStarting, document.Instances[0].Instance)
	default:
		err = errors.Wrapf(zfcmd.ErrUnknown, "no route has the address %s", o.Route)
	}
	return err
}

// errStarting is returned if the instances that answer have no routes yet.
var errStarting = errors.New("the instance has just started and has no routes yet")

// checkFlow checks that callers and routes can have these addresses.
func checkFlow(caller, route netip.AddrPort) error {
	switch {
	case caller.Port() == 0:
		return errors.Wrapf(zfcmd.ErrInput, "caller %s has port 0", caller)
	case route.Port() == 0:
		return errors.Wrapf(zfcmd.ErrInput, "route %s has port 0", route)
	case caller.Addr().Is4() != route.Addr().Is4():
		return errors.Wrapf(zfcmd.ErrInput, "caller %s and route %s are not both IPv4 or both IPv6", caller.Addr(), route)
	default:
		return nil
	}
}

// ask asks the instances in order until one answers.
func (o *Options) ask(args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	var err error
	for _, address := range o.Instance {
		client := zfcluster.NewClient(address, o.clock)
		var reply zfcluster.ExplainReply
		reply, err = client.Explain(args, callTimeout)
		client.Close()
		if err == nil {
			return reply, nil
		}
		if !errors.Is(err, zfcluster.ErrUnreachable) {
			return reply, err
		}
	}
	return zfcluster.ExplainReply{}, errors.Wrap(zfcmd.ErrUnreachable, err.Error())
}

// parseCaller parses an address with or without a port.
func parseCaller(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPortFrom(defaultCaller, defaultPort), nil
	}
	if caller, err := netip.ParseAddrPort(text); err == nil {
		return caller, nil
	}
	address, err := netip.ParseAddr(text)
	if err != nil {
		return netip.AddrPort{}, errors.Wrapf(zfcmd.ErrInput, "caller %q is not an IP address, with or without a port", text)
	}
	return netip.AddrPortFrom(address, defaultPort), nil
}
