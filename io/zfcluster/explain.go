package zfcluster

import (
	"time"

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

// Explain asks where the opening packets of a flow would go.
func (c *Client) Explain(args ExplainArgs, timeout time.Duration) (ExplainReply, error) {
	var reply ExplainReply
	err := c.call("Explain", args, &reply, timeout)
	return reply, err
}
