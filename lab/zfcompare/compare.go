// Package zfcompare runs the mappers through the same scenarios in a simulated
// region, one after the other, and tabulates what they cost.
package zfcompare

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfrendezvous"
	"zinniafront/core/zfreplica"
	"zinniafront/core/zfslot"
	"zinniafront/io/zfwire"
	"zinniafront/lab/zfregion"
)

// Config describes a comparison.
type Config struct {
	Seed      uint64
	Instances int
	// Rate is the number of flows opened each second.
	Rate float64
}

// Row holds the measurements of one mapper in one scenario.
type Row struct {
	Mapper    string  `json:"way"`
	Event     string  `json:"event"`
	Instances int     `json:"instances"`
	Opened    int     `json:"opened"`
	Broken    int     `json:"broken"`
	Silent    int     `json:"silent"`
	Slowest   string  `json:"slowest"`
	Imbalance float64 `json:"imbalance"`
	// Bytes is the number of control bytes a second of the busiest instance,
	// Flow the bytes of memory per flow on the instance that needs most,
	// Relayed the number of relays per forwarded packet.
	Bytes   float64 `json:"bytes"`
	Flow    float64 `json:"flow"`
	Relayed float64 `json:"relayed"`
}

// hashSeed is the hash seed of the mappers.
const hashSeed = 7

// mapperFactories returns the constructors of the mappers by name.
func mapperFactories() map[string]func(zf.MemberView, time.Time) zf.Mapper {
	return map[string]func(zf.MemberView, time.Time) zf.Mapper{
		"rendezvous": func(zf.MemberView, time.Time) zf.Mapper {
			return zfrendezvous.New(zfrendezvous.Config{
				Seed: hashSeed,
			})
		},
		"replica": func(_ zf.MemberView, start time.Time) zf.Mapper {
			return zfreplica.New(zfreplica.Config{
				Seed:  hashSeed,
				Start: start,
			})
		},
		"slot": func(_ zf.MemberView, start time.Time) zf.Mapper {
			return zfslot.New(zfslot.DefaultConfig(hashSeed, start))
		},
	}
}

// Mappers returns the names of the mappers, baselines first.
func Mappers() []string { return []string{"rendezvous", "replica", "slot"} }

// scenario is a schedule of events that every mapper goes through.
type scenario struct {
	name     string
	schedule []zfregion.Event
}

func scenarios() []scenario {
	return []scenario{
		{name: "steady"},
		{name: "roll", schedule: []zfregion.Event{{Action: zfregion.ActionRoll}}},
		{name: "drain", schedule: []zfregion.Event{{Action: zfregion.ActionDrain}}},
		{name: "join", schedule: []zfregion.Event{{Action: zfregion.ActionJoin}}},
		{name: "die", schedule: []zfregion.Event{{Action: zfregion.ActionKill, Target: 1}}},
		{name: "restart", schedule: []zfregion.Event{
			{Action: zfregion.ActionStop, Target: 2},
			{Action: zfregion.ActionStart, Target: 2, After: 8 * time.Second},
		}},
		{name: "drain and die", schedule: []zfregion.Event{
			{Action: zfregion.ActionDrain},
			{Action: zfregion.ActionKill, Target: 1},
		}},
		{name: "leave and return", schedule: []zfregion.Event{
			{Action: zfregion.ActionOut, Target: 1},
			{Action: zfregion.ActionIn, Target: 1, After: 10 * time.Second},
		}},
	}
}

func bundle() *zfbundle.Bundle {
	b := &zfbundle.Bundle{
		Name:    "compare",
		Version: 1,
		Limits:  zfbundle.DefaultLimits(),
		Services: []zfbundle.Service{{
			Name:      "orders",
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{198, 51, 100, 1})},
			Ports:     []uint16{443},
			Protocol:  zf.ProtocolTCP,
			Idle:      30 * time.Minute,
			Slots:     zfbundle.DefaultSlots,
			Pool: zfbundle.Pool{
				Capacity: zf.Capacity{
					Slots:       2,
					Connections: 2000,
				},
			},
		}},
	}
	for _, name := range []zf.CentreName{"one", "two", "three"} {
		b.Centres = append(b.Centres, zfbundle.Centre{
			Name:   name,
			Region: "r",
		})
	}
	return b
}

const (
	serverCount = 14
	// The load runs for warmUpTime before the events of a scenario and for
	// settleTime after them.
	warmUpTime = 30 * time.Second
	settleTime = 30 * time.Second
)

// Run runs every scenario with every mapper.
func Run(config Config) ([]Row, error) {
	codec, err := zfwire.New(zfwire.Config{
		Key: []byte("compare"),
	})
	if err != nil {
		return nil, err
	}
	rows := make([]Row, 0, 32)
	for _, mapper := range Mappers() {
		for _, s := range scenarios() {
			rows = append(rows, runScenario(config, codec, mapper, s))
		}
	}
	return rows, nil
}

func runScenario(config Config, codec *zfwire.Codec, mapper string, s scenario) Row {
	r := zfregion.New(zfregion.Config{
		Seed:      config.Seed,
		Bundle:    bundle(),
		Instances: config.Instances,
		Servers:   map[zf.ServiceName]int{"orders": serverCount},
		Links: zfregion.LinkConfig{
			Delay:  500 * time.Microsecond,
			Jitter: time.Millisecond,
		},
		MaxStateDelay: time.Second,
		TickInterval:  50 * time.Millisecond,
		Mapper:        mapperFactories()[mapper],
		MessageSize: func(envelope zf.Envelope) int {
			datagram, err := codec.Encode(envelope)
			if err != nil {
				return 0
			}
			return len(datagram)
		},
	})
	r.RunUntil(20*time.Second, func() bool { return len(r.ReadyInstances()) == config.Instances })
	r.Advance(8 * time.Second)
	r.Flows().SetLoad(zfregion.Load{
		FlowRate:            config.Rate,
		MeanLifetime:        5 * time.Minute,
		PacketInterval:      2 * time.Second,
		QuietShare:          0.3,
		QuietPacketInterval: 20 * time.Second,
	})
	r.Advance(warmUpTime)
	sentBefore := make([]int, len(r.Instances()))
	for i, instance := range r.Instances() {
		sentBefore[i] = instance.SentBytes
	}
	start := r.Now()
	for _, event := range s.schedule {
		r.Advance(event.After)
		r.Apply(event)
	}
	r.Advance(settleTime)
	return measure(r, mapper, s.name, sentBefore, r.Now().Sub(start))
}

func measure(r *zfregion.Region, mapper, event string, sentBefore []int, elapsed time.Duration) Row {
	result := r.Flows().Result()
	row := Row{
		Mapper:    mapper,
		Event:     event,
		Instances: len(r.Instances()),
		Opened:    result.Opened,
		Broken:    result.Broken,
		Silent:    result.Unanswered,
		Slowest:   result.MaxResponseTime.String(),
	}
	for i, instance := range r.Instances() {
		row.Bytes = max(row.Bytes, float64(instance.SentBytes-sentBefore[i])/elapsed.Seconds())
		if !instance.Running {
			continue
		}
		if stats := instance.World.Mapper().Stats(); stats.Flows > 0 {
			row.Flow = max(row.Flow, float64(stats.FlowBytes)/float64(stats.Flows))
		}
	}
	highest, sum, count := 0, 0, 0
	for _, server := range r.Servers().List() {
		if server.Running && server.State == zf.ServerWarm {
			highest = max(highest, server.Connections())
			sum += server.Connections()
			count++
		}
	}
	if sum > 0 {
		row.Imbalance = float64(highest) * float64(count) / float64(sum)
	}
	relayed := 0
	for _, reason := range []zf.Reason{zf.ReasonOpening, zf.ReasonBackup, zf.ReasonMovedSlot, zf.ReasonRefresh, zf.ReasonEnding} {
		relayed += r.Reasons[reason]
	}
	row.Relayed = float64(relayed) / float64(r.Forwarded)
	return row
}

// FormatTable returns the rows as a Markdown table.
func FormatTable(rows []Row) string {
	var b strings.Builder
	b.WriteString("| way | event | instances | opened | broken | no answer | slowest answer | imbalance | control B/s | B a flow | relayed |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| %s | %s | %d | %d | %d | %d | %s | %.3f | %.0f | %.0f | %.3f |\n",
			r.Mapper, r.Event, r.Instances, r.Opened, r.Broken, r.Silent, r.Slowest, r.Imbalance, r.Bytes, r.Flow, r.Relayed)
	}
	return b.String()
}
