package zfcontrollerloop

import (
	"net/netip"

	"zinniafront/core/zfquorum"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfevent"
)

// seen is what was logged last.
type seen struct {
	leader  zfquorum.ID
	term    uint64
	index   uint64
	voters  int
	contact bool
}

// watch logs what this instance believes anew.
func (l *Loop) watch() {
	world := l.config.World
	replica := world.Replica()
	leader, _ := replica.Leader()
	if leader.ID != l.seen.leader || replica.Term() != l.seen.term {
		l.seen.leader = leader.ID
		l.seen.term = replica.Term()
		if l.yielded != nil && leader.ID != 0 && leader.ID != replica.Self().ID {
			close(l.yielded)
			l.yielded = nil
		}
		l.config.Logger.Entry(zfevent.LeaderChanged).Uint64("term", replica.Term()).
			Uint64("leader", uint64(leader.ID)).Str("address", leader.Address.String()).
			Bool("self", leader.ID == replica.Self().ID).Msg("")
	}
	if contact := !world.QuorumSince().IsZero(); contact != l.seen.contact {
		l.seen.contact = contact
		l.config.Logger.Entry(zfevent.QuorumContactChanged).Bool("contact", contact).Msg("")
	}
	committed := replica.Committed()
	if committed.Index != l.seen.index {
		l.seen.index = committed.Index
		l.config.Logger.Entry(zfevent.StateCommitted).Uint64("term", committed.Term).Uint64("index", committed.Index).
			Uint64("version", committed.State.InForce).Int("out", len(committed.State.Out)).Msg("")
	}
	if voters := len(committed.Voters); voters != l.seen.voters {
		l.seen.voters = voters
		addresses := make([]string, 0, voters)
		for _, voter := range committed.Voters {
			addresses = append(addresses, voter.Address.String())
		}
		l.config.Logger.Entry(zfevent.VotersChanged).Strs("voters", addresses).Msg("")
	}
}

// report logs the backend servers that were found to leave requests unanswered.
func (l *Loop) report() {
	for _, verdict := range l.config.World.TakeOutliers() {
		l.config.Logger.Entry(zfevent.ServerSuspected).Str("server", string(verdict.Server)).
			Time("born", verdict.Born).Float64("answered", verdict.Answered).
			Float64("unanswered", verdict.Unanswered).Dur("for", verdict.Duration).Msg("")
	}
}

// client returns the client of another control instance.
func (l *Loop) client(address netip.AddrPort) *zfcluster.Client {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	client := l.clients[address]
	if client == nil {
		client = zfcluster.NewClient(address, l.config.Clock)
		l.clients[address] = client
	}
	return client
}
