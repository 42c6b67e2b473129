package zfcontrollerloop

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"zinniafront/core/zfquorum"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfevent"
)

// loggedState is the state that was logged last.
type loggedState struct {
	leader  zfquorum.ID
	term    uint64
	index   uint64
	voters  []zfquorum.Node
	contact bool
}

// logChanges logs changes of the leader, the contact with a majority, the committed
// state and the voters, as this instance sees them.
func (l *Loop) logChanges() {
	world := l.config.World
	replica := world.Replica()
	leader, _ := replica.Leader()
	if leader.ID != l.logged.leader || replica.Term() != l.logged.term {
		l.logged.leader = leader.ID
		l.logged.term = replica.Term()
		l.config.Logger.Entry(zfevent.LeaderChanged).Uint64("term", replica.Term()).
			Uint64("leader", uint64(leader.ID)).Str("address", leader.Address.String()).
			Bool("self", leader.ID == replica.Self().ID).Msg("")
	}
	if contact := !world.QuorumSince().IsZero(); contact != l.logged.contact {
		l.logged.contact = contact
		l.config.Logger.Entry(zfevent.QuorumContactChanged).Bool("contact", contact).Msg("")
	}
	committed := replica.Committed()
	if committed.Index != l.logged.index {
		l.logged.index = committed.Index
		l.config.Logger.Entry(zfevent.StateCommitted).Uint64("term", committed.Term).Uint64("index", committed.Index).
			Uint64("version", committed.State.InForce).Int("out", len(committed.State.Out)).Msg("")
	}
	if !slices.Equal(committed.Voters, l.logged.voters) {
		l.logged.voters = committed.Voters
		addresses := make([]string, 0, len(committed.Voters))
		for _, voter := range committed.Voters {
			addresses = append(addresses, voter.Address.String())
		}
		l.config.Logger.Entry(zfevent.VotersChanged).Strs("voters", addresses).Msg("")
	}
	for _, change := range replica.TakeVoterChanges() {
		entry := l.config.Logger.Entry(zfevent.VoterChangeProposed).Str("reason", string(change.Reason))
		if change.Added.ID != 0 {
			entry = entry.Str("added", change.Added.Address.String())
		}
		if change.Removed.ID != 0 {
			entry = entry.Str("removed", change.Removed.Address.String()).Dur("silence", change.Silence)
		}
		entry.Msg("")
	}
}

// logOutliers logs the backend servers that were found to leave requests unanswered,
// and for how long they are suspect.
func (l *Loop) logOutliers() {
	for _, outlier := range l.config.World.TakeOutliers() {
		l.config.Logger.Entry(zfevent.ServerSuspected).Str("server", string(outlier.Server)).
			Time("born", outlier.Born).Float64("answered", outlier.Answered).
			Float64("unanswered", outlier.Unanswered).Dur("for", outlier.Duration).Msg("")
	}
}

// logDepartures logs the changed decisions on new flows that leave this data centre, and
// sets their metrics.
func (l *Loop) logDepartures(now time.Time) {
	departures, _ := l.config.World.Departures(now)
	l.config.Counters.SetDepartures(departures)
	for _, change := range l.config.World.TakeDepartureChanges() {
		centres := make([]string, 0, len(change.To))
		for _, to := range change.To {
			centres = append(centres, fmt.Sprintf("%s %.3f", to.Centre, to.Share))
		}
		l.config.Logger.Entry(zfevent.DepartureChanged).Str("service", string(change.Service)).
			Float64("share", change.Share()).Strs("centres", centres).Dur("home", change.Home).Dur("away", change.Away).
			Float64("demand", change.Demand).Float64("room", change.Room).Dur("homeage", change.HomeAge).
			Dur("awayage", change.AwayAge).Dur("kilobyte", change.Kilobyte).Msg("")
	}
}

// client returns the client of another control instance, and creates it if needed.
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
