package zfoperator

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"

	"github.com/pkg/errors"

	"zinniafront/core/zfcontrol"
)

// The errors of a client.
var (
	// ErrUnreachable is returned if no control instance accepts a connection; nothing
	// was sent.
	ErrUnreachable = errors.New("nothing was sent: no control instance can be reached")
	// ErrOutcomeUnknown is returned if a call was sent and no reply came before the
	// connection failed or the context ended.
	ErrOutcomeUnknown = errors.New("outcome unknown: the answer was lost; send the same command again")
)

// Client calls control instances over net/rpc.
type Client struct {
	addresses []netip.AddrPort
}

// NewClient returns a client of the control instances at addresses.
func NewClient(addresses []netip.AddrPort) *Client {
	return &Client{
		addresses: addresses,
	}
}

// call calls a method of the first control instance that can be reached.
func (c *Client) call(ctx context.Context, method string, args, reply any) error {
	var dialer net.Dialer
	for _, address := range c.addresses {
		conn, err := dialer.DialContext(ctx, "tcp", address.String())
		if err != nil {
			continue
		}
		return callConn(ctx, conn, method, args, reply)
	}
	return errors.WithStack(ErrUnreachable)
}

func callConn(ctx context.Context, conn net.Conn, method string, args, reply any) error {
	client := rpc.NewClient(conn)
	defer client.Close()
	call := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
	var serverErr rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverErr) {
		return errors.Wrap(ErrOutcomeUnknown, call.Error.Error())
	}
	return call.Error
}

// Accept sends a signed bundle.
func (c *Client) Accept(ctx context.Context, args AcceptArgs) (Reply, error) {
	var reply Reply
	err := c.call(ctx, "Accept", args, &reply)
	return reply, err
}

// Roll puts an accepted bundle in force.
func (c *Client) Roll(ctx context.Context, args RollArgs) (Reply, error) {
	var reply Reply
	err := c.call(ctx, "Roll", args, &reply)
	return reply, err
}

// Centre takes a data centre out or brings it back. It confirms the command against the
// control state, unless args do already.
func (c *Client) Centre(ctx context.Context, args CentreArgs) (Reply, error) {
	var reply Reply
	err := c.call(ctx, "Centre", args, &reply)
	if err != nil || args.AsOf != 0 || reply.Outcome.Status != zfcontrol.StatusUnconfirmed {
		return reply, err
	}
	args.AsOf = reply.Outcome.Sequence
	var confirmed Reply
	err = c.call(ctx, "Centre", args, &confirmed)
	return confirmed, err
}

// Status returns the control state and the progress of entry instances.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var reply Status
	err := c.call(ctx, "Status", StatusArgs{}, &reply)
	return reply, err
}

// Fetch waits for a later control state and returns it.
func (c *Client) Fetch(ctx context.Context, args FetchArgs) (FetchReply, error) {
	var reply FetchReply
	err := c.call(ctx, "Fetch", args, &reply)
	return reply, err
}
