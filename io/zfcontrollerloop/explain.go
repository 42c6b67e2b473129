package zfcontrollerloop

import (
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"zinniafront/io/zfcluster"
)

// explainTimeout bounds the wait for one entry instance.
const explainTimeout = time.Second

// errNoEntryInstance is returned if no entry instance of a data centre is known here.
var errNoEntryInstance = errors.New("no entry instance of the data centre subscribes here")

// Explain implements zfcluster.Handler. It asks entry instances, which place flows.
func (l *Loop) Explain(args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	if args.Centre == "" {
		args.Centre = l.config.World.Replica().Self().Centre
	}
	var addresses []netip.AddrPort
	if err := l.do(func(time.Time) { addresses = l.feed.SubscribersOf(args.Centre) }); err != nil {
		return zfcluster.ExplainReply{}, err
	}
	if len(addresses) == 0 {
		return zfcluster.ExplainReply{}, errors.Wrap(errNoEntryInstance, string(args.Centre))
	}
	if args.All {
		return l.explainAll(args, addresses), nil
	}
	var reply zfcluster.ExplainReply
	for _, address := range addresses {
		answer, err := l.explainAt(address, args)
		if err == nil {
			reply.Explanations = answer.Explanations
			return reply, nil
		}
		reply.Silent++
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
