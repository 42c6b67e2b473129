package zfcluster

import (
	"strings"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
)

// ExplainArgs asks where the opening packets of a flow would go.
type ExplainArgs struct {
	Flow zf.Flow
	// Centre is the data centre whose entry instances a control instance asks, or empty
	// for its own. All is set if all of them are asked rather than one.
	Centre zf.CentreName
	All    bool
}

// ExplainReply has the explanations of the instances that were asked.
type ExplainReply struct {
	Explanations []zf.Explanation
	// Silent is the number of instances that didn't answer.
	Silent int
}

// Explain returns where the opening packets of a flow would go.
func (s *rpcService) Explain(args ExplainArgs, reply *ExplainReply) (err error) {
	*reply, err = s.handler.Explain(args)
	return err
}

// ErrEarlierVersion is returned if the instance doesn't know the call.
var ErrEarlierVersion = errors.New("the instance is of a version without this call")

// noMethod is how the error of net/rpc for an unknown method begins.
const noMethod = "rpc: can't find method"

// Explain asks where the opening packets of a flow would go.
func (c *Client) Explain(args ExplainArgs, timeout time.Duration) (ExplainReply, error) {
	var reply ExplainReply
	err := c.call("Explain", args, &reply, timeout)
	if err != nil && strings.HasPrefix(errors.Cause(err).Error(), noMethod) {
		err = errors.Wrap(ErrEarlierVersion, c.address.String())
	}
	return reply, err
}
