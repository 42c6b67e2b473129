// Package zfreplica maps flows to backend servers by rendezvous hashing and
// broadcasts each new flow to every instance. It is the second baseline that
// lab/zfcompare compares with: it keeps flows as long as the messages arrive in
// time, but sends and stores a row for each flow on every instance.
package zfreplica

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
	"zinniafront/core/zfrendezvous"
)

const (
	// queueSize bounds the flows that wait for the control goroutine.
	queueSize = 65536
	// batchRows is the maximum number of flows in one message.
	batchRows = 64
	// idleTimeout is how long a flow is kept without a packet.
	idleTimeout = 30 * time.Minute
	maxRows     = 4 << 20
)

// Config holds the constants of a mapper.
type Config struct {
	// Seed is the secret seed of the flow hash, equal at all instances.
	Seed  uint64
	Start time.Time
}

// Mapper implements zinniafront.Mapper.
type Mapper struct {
	*zfrendezvous.Mapper
	config   Config
	flows    *zfflow.Table
	newFlows chan zf.FlowRow
	byID     map[zf.ServerID]zf.ServerView
	byName   map[zf.ServerName]zf.ServerID
	sentRows int
}

// New returns a mapper without tables.
func New(config Config) *Mapper {
	return &Mapper{
		Mapper: zfrendezvous.New(zfrendezvous.Config{
			Seed: config.Seed,
		}),
		config: config,
		flows: zfflow.New(zfflow.Config{
			Start:   config.Start,
			MaxRows: maxRows,
		}),
		newFlows: make(chan zf.FlowRow, queueSize),
	}
}

// Route implements zinniafront.Mapper, except that it is not safe for concurrent
// use: it must run on the control goroutine, whose tables it reads.
func (m *Mapper) Route(packet zf.Packet, now time.Time) zf.Verdict {
	hash := zfflow.Hash(m.config.Seed, packet.Flow)
	row, _, known := m.flows.Touch(hash, packet.Kind, now)
	if known {
		if server, ok := m.byID[row.Server]; ok && server.Allowed && server.State != zf.ServerGone {
			return zf.Verdict{
				Action: zf.ActionForward,
				To:     server.Address,
				Server: server.ID,
			}
		}
	}
	verdict := m.Mapper.Route(packet, now)
	if verdict.Action == zf.ActionForward {
		m.flows.Put(hash, zfflow.Row{
			Server: verdict.Server,
		}, now)
		select {
		case m.newFlows <- zf.FlowRow{
			Hash:   hash,
			Server: m.byID[verdict.Server].Name,
		}:
		default:
		}
	}
	return verdict
}

// Tick implements zinniafront.Mapper.
func (m *Mapper) Tick(now time.Time, view zf.View) []zf.Envelope {
	m.Mapper.Tick(now, view)
	m.byID = make(map[zf.ServerID]zf.ServerView, len(view.Servers))
	m.byName = make(map[zf.ServerName]zf.ServerID, len(view.Servers))
	for _, server := range view.Servers {
		m.byID[server.ID] = server
		m.byName[server.Name] = server.ID
	}
	m.flows.Sweep(now, func(uint64, zfflow.Row) time.Duration { return idleTimeout })
	rows := make([]zf.FlowRow, 0, len(m.newFlows))
	for range len(m.newFlows) {
		rows = append(rows, <-m.newFlows)
	}
	m.sentRows += len(rows)
	envelopes := make([]zf.Envelope, 0, len(view.Members))
	for len(rows) > 0 {
		n := min(batchRows, len(rows))
		for _, member := range view.Members {
			if member.Name != view.Self {
				envelopes = append(envelopes, zf.Envelope{
					To:      member.Name,
					Address: member.Control,
					Message: zf.FlowRows{
						Rows: rows[:n],
					},
				})
			}
		}
		rows = rows[n:]
	}
	return envelopes
}

// Receive implements zinniafront.Mapper.
func (m *Mapper) Receive(_ zf.InstanceName, message zf.Message, now time.Time) {
	received, ok := message.(zf.FlowRows)
	if !ok {
		return
	}
	for _, row := range received.Rows {
		if id, known := m.byName[row.Server]; known {
			m.flows.Put(row.Hash, zfflow.Row{
				Server: id,
			}, now)
		}
	}
}

// Stats implements zinniafront.Mapper.
func (m *Mapper) Stats() zf.MapperStats {
	return zf.MapperStats{
		Flows:     m.flows.Len(),
		FlowBytes: m.flows.Bytes(),
		HintsSent: m.sentRows,
	}
}
