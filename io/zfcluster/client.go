package zfcluster

import (
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfcounter"
)

// dialTimeout bounds the wait for a connection: an instance that has no power or is
// behind a partition doesn't answer at all. It is twice the round-trip time between
// data centres.
const dialTimeout = 100 * time.Millisecond

// Client calls one other instance. It keeps its connection open and replaces it
// when a call fails or times out. It is safe for concurrent use.
type Client struct {
	address netip.AddrPort
	clock   zf.Clock
	// link counts the bytes of calls; its counters may be nil.
	link  zfcounter.ByteCounters
	mutex sync.Mutex
	rpc   *rpc.Client
}

// NewClient returns a client without a connection.
func NewClient(address netip.AddrPort, clock zf.Clock) *Client {
	return &Client{
		address: address,
		clock:   clock,
	}
}

// Address returns the address that is called.
func (c *Client) Address() netip.AddrPort { return c.address }

func (c *Client) connect() (*rpc.Client, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.rpc != nil {
		return c.rpc, nil
	}
	conn, err := net.DialTimeout("tcp", c.address.String(), dialTimeout)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	if c.link.Sent != nil {
		conn = countedConn{
			Conn: conn,
			link: c.link,
		}
	}
	c.rpc = rpc.NewClient(conn)
	return c.rpc, nil
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	link zfcounter.ByteCounters
}

// Read implements net.Conn.
func (c countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.link.Received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.link.Sent.Inc(int64(n))
	return n, err
}

// drop closes a connection that failed.
func (c *Client) drop(failed *rpc.Client) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.rpc == failed {
		c.rpc = nil
	}
	_ = failed.Close() // net/rpc may have closed it already; the error doesn't matter.
}

// Close closes the connection.
func (c *Client) Close() {
	c.mutex.Lock()
	client := c.rpc
	c.mutex.Unlock()
	if client != nil {
		c.drop(client)
	}
}

// call calls a method and waits for its reply. An error that the method itself
// returned leaves the connection open.
func (c *Client) call(method string, args, reply any, timeout time.Duration) error {
	client, err := c.connect()
	if err != nil {
		return err
	}
	expired, release := c.clock.After(timeout)
	defer release()
	call := client.Go(serviceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-expired:
		c.drop(client)
		return errors.Wrapf(ErrUnreachable, "%s of %s took over %s", method, c.address, timeout)
	}
	var serverErr rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverErr) {
		c.drop(client)
		return errors.Wrap(ErrUnreachable, call.Error.Error())
	}
	return errors.Wrap(call.Error, "call "+method)
}

// Deliver sends replication messages.
func (c *Client) Deliver(args DeliverArgs, timeout time.Duration) error {
	return c.call("Deliver", args, &Empty{}, timeout)
}

// Ask forwards an operation to the leader.
func (c *Client) Ask(args AskArgs, timeout time.Duration) (AskReply, error) {
	var reply AskReply
	err := c.call("Ask", args, &reply, timeout)
	return reply, err
}

// Offer sends the address of a control instance that has started to an entry instance.
func (c *Client) Offer(address netip.AddrPort, timeout time.Duration) error {
	return c.call("Offer", OfferArgs{
		Address: address,
	}, &Empty{}, timeout)
}

// Fetch asks for changes and decompresses the backend servers of the reply.
func (c *Client) Fetch(args FetchArgs, timeout time.Duration) (FetchReply, error) {
	var reply FetchReply
	if err := c.call("Fetch", args, &reply, timeout); err != nil || reply.Rows == nil {
		return reply, err
	}
	updates, err := decompressRows(reply.Rows)
	reply.Changes.Updates = updates
	reply.Rows = nil
	return reply, err
}
