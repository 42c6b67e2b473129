package zfslot

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

// Config holds the constants of a mapper.
type Config struct {
	// Seed is the secret seed of the flow hash, equal at all instances.
	Seed uint64
	// Start is when the instance started.
	Start time.Time
	// BootDelay is how long a coordinator collects rows after its start before
	// it writes slot tables, and how long the number of backend servers has to
	// be unchanged before the first assignment.
	BootDelay time.Duration
	// HintTTL is how long an instance trusts a hint from a flow's owner.
	HintTTL time.Duration
	// ResendInterval is the time between transmissions of an unacknowledged
	// message.
	ResendInterval time.Duration
	// DrainGrace is how long a backend server still gets new flows after its
	// weight became 0, while its slots move. One in a data centre that was taken
	// out gets none.
	DrainGrace time.Duration
	// HandoverTimeout bounds how long a new owner waits for the rows of its
	// flows.
	HandoverTimeout time.Duration
	// HintBudget and HandoverBudget limit the bytes spent on rows of flows.
	HintBudget     Budget
	HandoverBudget Budget
	// Tolerance is the fraction of its target by which a backend server's number
	// of slots may differ from the target before slots move only for balance.
	Tolerance float64
	// MaxFlows is the maximum number of rows of the flow table.
	MaxFlows int
}

// Budget limits the bytes sent over time, as a token bucket.
type Budget struct {
	// BytesPerSecond is the refill rate, BurstBytes the number of bytes that
	// may be sent at once.
	BytesPerSecond int
	BurstBytes     int
}

func (b Budget) limiter() *rate.Limiter {
	return rate.NewLimiter(rate.Limit(b.BytesPerSecond), b.BurstBytes)
}

// DefaultConfig returns the constants for production.
func DefaultConfig(seed uint64, start time.Time) Config {
	return Config{
		Seed:            seed,
		Start:           start,
		BootDelay:       1500 * time.Millisecond,
		HintTTL:         2 * time.Minute,
		ResendInterval:  300 * time.Millisecond,
		DrainGrace:      700 * time.Millisecond,
		HandoverTimeout: 20 * time.Second,
		HintBudget: Budget{
			BytesPerSecond: 800,
			BurstBytes:     8 << 10,
		},
		HandoverBudget: Budget{
			BytesPerSecond: 3000,
			BurstBytes:     256 << 10,
		},
		Tolerance: 0.02,
		MaxFlows:  2 << 20,
	}
}

// Mapper implements zinniafront.Mapper. Its tables belong to the control
// goroutine; traffic goroutines read the published snapshot and share the
// flow table's shards.
type Mapper struct {
	config    Config
	view      zf.View
	servers   *serverNames
	tables    []*table
	byName    map[zf.ServiceName]*table
	flows     *zfflow.Table
	published atomic.Pointer[snapshot]

	// membersDigest identifies the ready members, stableSince is when they last
	// changed.
	membersDigest   uint64
	stableSince     time.Time
	owners          *buckets
	ownedSince      *[bucketCount]time.Time
	backups         *buckets
	ownership       *ownership
	handover        *handover
	hints           *hintQueue
	rebinds         *rebinds
	hintLimiter     *rate.Limiter
	handoverLimiter *rate.Limiter
	// everAccepting holds the servers that have accepted new flows,
	// notAcceptingSince when the weight of such a server became 0 or its data
	// centre was taken out.
	everAccepting     map[uint32]bool
	notAcceptingSince map[uint32]time.Time
	// silent holds the servers without a recent announcement. returnedAt is
	// when such a server announced itself again; flows from before may be
	// gone, which their owner knows.
	silent     map[uint32]bool
	returnedAt map[uint32]time.Time
	// serverCount is the number of known backend servers, serversChanged is
	// when it last changed.
	serverCount    int
	serversChanged time.Time
	// incarnations holds the incarnations of the members at the last change of
	// owners.
	incarnations map[zf.InstanceName]uint64
	lastTick     time.Time
	// lastSynced is the last tick at which Synced found every table synced with
	// its coordinator's.
	lastSynced time.Time
	// serversKnown is set once the backend servers of the tables are known or
	// serverDiscoveryTimeout has passed.
	serversKnown bool
	outbox       []zf.Envelope
	stats        zf.MapperStats
}

// New returns a mapper without tables.
func New(config Config) *Mapper {
	return &Mapper{
		config:  config,
		servers: newServerNames(),
		byName:  make(map[zf.ServiceName]*table),
		flows: zfflow.New(zfflow.Config{
			Start:   config.Start,
			MaxRows: config.MaxFlows,
		}),
		owners:            &buckets{},
		ownedSince:        &[bucketCount]time.Time{},
		backups:           &buckets{},
		ownership:         &ownership{},
		handover:          newHandover(),
		hints:             newHintQueue(),
		rebinds:           newRebinds(),
		hintLimiter:       config.HintBudget.limiter(),
		handoverLimiter:   config.HandoverBudget.limiter(),
		everAccepting:     make(map[uint32]bool),
		notAcceptingSince: make(map[uint32]time.Time),
		silent:            make(map[uint32]bool),
		returnedAt:        make(map[uint32]time.Time),
	}
}

// Tick implements zinniafront.Mapper. The systems run in a fixed order.
func (m *Mapper) Tick(now time.Time, view zf.View) []zf.Envelope {
	m.lastTick = now
	m.applyView(view, now)
	for _, t := range m.tables {
		if !t.live {
			continue
		}
		m.syncTable(t, now)
		m.coordinate(t, now)
	}
	m.runHandover(now)
	m.sendHints(now)
	m.sendRebinds(now)
	m.sweepFlows(now)
	m.publish(now)
	out := m.outbox
	m.outbox = nil
	return out
}

// applyView takes the tick's view and applies changes of services, backend
// servers and members.
func (m *Mapper) applyView(view zf.View, now time.Time) {
	first := m.view.Members == nil
	m.view = view
	m.applyServices()
	m.applyServers(now)
	if digest := membershipDigest(view.Members); first || digest != m.membersDigest {
		m.membersDigest = digest
		m.stableSince = now
		m.reassignOwners(now)
	}
}

func (m *Mapper) applyServices() {
	for _, t := range m.tables {
		t.live = false
	}
	for _, service := range m.view.Services {
		t, ok := m.byName[service.Name]
		if !ok || len(t.rows) != service.Slots {
			t = newTable(uint16(len(m.tables)), service)
			m.tables = append(m.tables, t)
			m.byName[service.Name] = t
		}
		t.view = service
		t.live = true
	}
}

// applyServers records when backend servers stop accepting new flows and when
// they return after a silence.
func (m *Mapper) applyServers(now time.Time) {
	if len(m.view.Servers) != m.serverCount {
		m.serverCount = len(m.view.Servers)
		m.serversChanged = now
	}
	for _, server := range m.view.Servers {
		index := m.servers.intern(server.Name)
		silent := server.State == zf.ServerSilent || server.State == zf.ServerGone
		if m.silent[index] && !silent {
			m.returnedAt[index] = now
		}
		m.silent[index] = silent
		_, stopped := m.notAcceptingSince[index]
		switch {
		case server.Weight > 0 && server.Allowed:
			m.everAccepting[index] = true
			delete(m.notAcceptingSince, index)
		case !stopped && m.everAccepting[index]:
			m.notAcceptingSince[index] = now
		}
	}
}

// inDrainGrace reports whether a backend server stopped accepting new flows less
// than DrainGrace ago.
func (m *Mapper) inDrainGrace(index uint32, now time.Time) bool {
	since, ok := m.notAcceptingSince[index]
	return ok && now.Sub(since) < m.config.DrainGrace
}

// Receive implements zinniafront.Mapper.
func (m *Mapper) Receive(from zf.InstanceName, message zf.Message, now time.Time) {
	switch message := message.(type) {
	case zf.SlotRows:
		m.receiveRows(from, message, now)
	case zf.SlotAck:
		m.receiveAck(from, message, now)
	case zf.SlotAsk:
		m.receiveAsk(from, message)
	case zf.SlotPull:
		m.receivePull(from, message)
	case zf.FlowRows:
		m.receiveFlows(from, message, now)
	case zf.FlowAck:
		m.handover.acknowledge(from, message.Batch)
		m.rebinds.acknowledge(from, m.incarnationOf(from), message.Batch)
	}
}

func (m *Mapper) receiveRows(from zf.InstanceName, message zf.SlotRows, now time.Time) {
	t, ok := m.byName[message.Service]
	if !ok {
		return
	}
	for _, row := range message.Rows {
		if t.merge(int(row.Slot), m.servers.importRow(row), now) {
			m.handover.rescanFlows = true
		}
	}
	if message.Round != 0 {
		m.send(from, zf.SlotAck{
			Service: message.Service,
			Round:   message.Round,
		})
	}
}

func (m *Mapper) receivePull(from zf.InstanceName, message zf.SlotPull) {
	t, ok := m.byName[message.Service]
	if !ok {
		return
	}
	for _, rows := range m.servers.rowMessages(t, allSlots(t), 0) {
		m.send(from, rows)
	}
}

func allSlots(t *table) []int {
	slots := make([]int, len(t.rows))
	for i := range slots {
		slots[i] = i
	}
	return slots
}

// send queues a message to a member; one that is not in the view is skipped.
func (m *Mapper) send(to zf.InstanceName, message zf.Message) {
	for i := range m.view.Members {
		member := &m.view.Members[i]
		if member.Name == to && to != m.view.Self {
			m.outbox = append(m.outbox, zf.Envelope{
				To:      to,
				Address: member.Control,
				Message: message,
			})
			return
		}
	}
}

func (m *Mapper) incarnationOf(name zf.InstanceName) uint64 {
	for i := range m.view.Members {
		if m.view.Members[i].Name == name {
			return m.view.Members[i].Incarnation
		}
	}
	return 0
}

// sweepFlows removes idle flows and those of services and backend servers that
// are gone. In a settled slot, rows of flows that other instances own are
// removed already after HintTTL without a packet, since the slot gives their
// backend server.
func (m *Mapper) sweepFlows(now time.Time) {
	gone := make(map[uint32]bool)
	for _, server := range m.view.Servers {
		if server.State == zf.ServerGone {
			gone[m.servers.index[server.Name]] = true
		}
	}
	m.flows.Sweep(now, func(hash uint64, row zfflow.Row) time.Duration {
		t := m.tables[row.Service]
		switch {
		case !t.live || gone[uint32(row.Server)]:
			return 0
		case row.Flags&zfflow.FlagOwned != 0 || !t.rows[t.slotOf(hash)].settled():
			return t.view.Idle
		default:
			return m.config.HintTTL
		}
	})
}
