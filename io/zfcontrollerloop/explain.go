package zfcontrollerloop

import (
	"net/netip"
	"sync"
	"time"

	"zinniafront/io/zfcluster"
)

const (
	// explainTimeout bounds the wait for one entry instance, totalExplainTimeout that for
	// several that are asked one after the other.
	explainTimeout      = time.Second
	totalExplainTimeout = 3 * time.Second
)

// Explain implements zfcluster.Handler. It asks entry instances, which place flows. The reply is
// empty if none of the data centre subscribes here.
func (l *Loop) Explain(args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	if args.Centre == "" {
		args.Centre = l.config.World.Replica().Self().Centre
	}
	var addresses []netip.AddrPort
	if err := l.do(func(time.Time) { addresses = l.feed.SubscribersOf(args.Centre) }); err != nil {
		return zfcluster.ExplainReply{}, err
	}
	all := args.All
	args.All = false
	if all {
		return l.explainAll(args, addresses), nil
	}
	var reply zfcluster.ExplainReply
	until := l.config.Clock.Now().Add(totalExplainTimeout)
	for _, address := range addresses {
		answer, err := l.explainAt(address, args)
		switch {
		case err != nil:
			reply.Silent++
		case len(answer.Explanations) > 0:
			reply.Explanations = answer.Explanations
			return reply, nil
		}
		if !l.config.Clock.Now().Before(until) {
			break
		}
	}
	return reply, nil
}

// explainAll asks all instances at the same time.
func (l *Loop) explainAll(args zfcluster.ExplainArgs, addresses []netip.AddrPort) zfcluster.ExplainReply {
	answers := make([]zfcluster.ExplainReply, len(addresses))
	var group sync.WaitGroup
	for i, address := range addresses {
		group.Go(func() {
			answer, err := l.explainAt(address, args)
			if err != nil {
				answer.Silent = 1
			}
			answers[i] = answer
		})
	}
	group.Wait()
	var reply zfcluster.ExplainReply
	for _, answer := range answers {
		reply.Explanations = append(reply.Explanations, answer.Explanations...)
		reply.Silent += answer.Silent
	}
	return reply
}

func (l *Loop) explainAt(address netip.AddrPort, args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	client := zfcluster.NewClient(address, l.config.Clock)
	defer client.Close()
	return client.Explain(args, explainTimeout)
}
