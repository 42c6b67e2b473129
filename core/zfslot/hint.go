package zfslot

import (
	"net/netip"
	"time"

	zf "zinniafront"
)

// hint is the backend server of a flow, sent by the flow's owner to the
// instance that relayed a packet or to the flow's backup.
type hint struct {
	hash    uint64
	server  uint32
	version uint32
	service uint16
	relay   netip.AddrPort
}

// hintQueueSize is the maximum number of hints that wait for the control
// goroutine.
const hintQueueSize = 8192

// hintQueue is a bounded queue of hints from the traffic goroutines to the
// control goroutine.
type hintQueue struct {
	queue chan hint
}

func newHintQueue() *hintQueue {
	return &hintQueue{
		queue: make(chan hint, hintQueueSize),
	}
}

// push adds a hint unless the queue is full; the flow's next relayed packet
// creates another one.
func (h *hintQueue) push(next hint) {
	select {
	case h.queue <- next:
	default:
	}
}

// sendHints sends the queued hints within the byte budget. The others are
// dropped and counted as deferred.
func (m *Mapper) sendHints(now time.Time) {
	rows := make(map[zf.InstanceName][]zf.FlowRow)
	for range len(m.hints.queue) {
		next := <-m.hints.queue
		name := m.hintReceiver(next)
		if name == "" || name == m.view.Self {
			continue
		}
		if !m.hintLimiter.AllowN(now, flowRowBytes) {
			m.stats.HintsDeferred++
			continue
		}
		rows[name] = append(rows[name], zf.FlowRow{
			Hash:    next.hash,
			Server:  m.servers.name(next.server),
			Service: m.tables[next.service].view.Name,
			Version: next.version,
		})
	}
	for _, member := range m.view.Members {
		list := rows[member.Name]
		m.stats.HintsSent += len(list)
		for len(list) > 0 {
			n := min(batchRows, len(list))
			m.send(member.Name, zf.FlowRows{
				Rows: list[:n],
			})
			list = list[n:]
		}
	}
}

// hintReceiver returns the instance that relayed the packet, or the flow's
// backup if the packet arrived directly.
func (m *Mapper) hintReceiver(next hint) zf.InstanceName {
	if !next.relay.IsValid() {
		return m.backups[bucketOf(next.hash)]
	}
	for i := range m.view.Members {
		if m.view.Members[i].Relay == next.relay {
			return m.view.Members[i].Name
		}
	}
	return ""
}

// backupsOf returns for each bucket the ready member that would become the
// owner if the present owner left.
func backupsOf(members []zf.MemberView, owners *buckets) *buckets {
	var backups buckets
	for b := range backups {
		i := highestWeight(members, uint64(b), func(member zf.MemberView) bool {
			return member.Ready && member.Name != owners[b]
		})
		if i >= 0 {
			backups[b] = members[i].Name
		}
	}
	return &backups
}
