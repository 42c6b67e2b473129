package zfentryloop

import (
	"net/netip"
	"time"
)

// Report is the state of an instance as a JSON document.
type Report struct {
	Name     string         `json:"name"`
	Centre   string         `json:"centre"`
	Ready    bool           `json:"ready"`
	Stopping bool           `json:"stopping"`
	Sequence uint64         `json:"sequence"`
	Version  uint64         `json:"version"`
	Digest   string         `json:"digest"`
	Out      []string       `json:"out"`
	Members  []MemberReport `json:"members"`
	Servers  []ServerReport `json:"servers"`
	Mapper   MapperReport   `json:"mapper"`
	Waiting  int            `json:"waiting"`
	Running  int            `json:"running"`
}

// MemberReport describes another instance.
type MemberReport struct {
	Name     string `json:"name"`
	Centre   string `json:"centre"`
	State    string `json:"state"`
	Ready    bool   `json:"ready"`
	Sequence uint64 `json:"sequence"`
	// Silent is the time since the last heartbeat.
	Silent string `json:"silent"`
}

// ServerReport describes a backend server.
type ServerReport struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Centre  string         `json:"centre"`
	Address netip.AddrPort `json:"address"`
	State   string         `json:"state"`
	Ramp    float64        `json:"ramp"`
	Load    float64        `json:"load"`
	// Silent is the time since the last announcement or heartbeat of the backend server
	// that this instance received, also by way of another instance.
	Silent string `json:"silent"`
}

// MapperReport holds the sizes of the mapper's tables and its counts;
// zinniafront.MapperStats describes each.
type MapperReport struct {
	Flows     int `json:"flows"`
	Bytes     int `json:"bytes"`
	Unplaced  int `json:"unplaced"`
	Unsettled int `json:"unsettled"`
	Pending   int `json:"pending"`
	Handover  int `json:"handover"`
	Hints     int `json:"hints"`
	Deferred  int `json:"deferred"`
	Settles   int `json:"settles"`
}

func (l *Loop) report(now time.Time) Report {
	world := l.config.World
	state := world.State()
	self := world.Self()
	stats := world.Mapper().Stats()
	report := Report{
		Name:     string(self.Name),
		Centre:   string(self.Centre),
		Ready:    world.Ready(),
		Stopping: world.Stopping(),
		Sequence: state.Sequence,
		Digest:   state.Digest,
		Out:      make([]string, 0, len(state.Out)),
		Members:  make([]MemberReport, 0),
		Servers:  make([]ServerReport, 0),
		Mapper: MapperReport{
			Flows:     stats.Flows,
			Bytes:     stats.FlowBytes,
			Unplaced:  stats.UnplacedSlots,
			Unsettled: stats.UnsettledSlots,
			Pending:   stats.PendingSlots,
			Handover:  stats.HandoverRows,
			Hints:     stats.HintsSent,
			Deferred:  stats.HintsDeferred,
			Settles:   stats.Settles,
		},
		Waiting: world.Requests().Waiting(),
		Running: world.Requests().Running(),
	}
	if state.Bundle != nil {
		report.Version = state.Bundle.Version
	}
	for _, centre := range state.Out {
		report.Out = append(report.Out, string(centre))
	}
	for _, row := range world.Members().Rows() {
		report.Members = append(report.Members, MemberReport{
			Name:     string(row.Name),
			Centre:   string(row.Centre),
			State:    row.State.String(),
			Ready:    row.Ready,
			Sequence: row.StateSequence,
			Silent:   now.Sub(row.LastHeartbeat).Round(time.Millisecond).String(),
		})
	}
	for _, row := range world.Servers().Rows() {
		report.Servers = append(report.Servers, ServerReport{
			Name:    string(row.Server),
			Service: string(row.Service),
			Centre:  string(row.Centre),
			Address: row.Address,
			State:   row.Status.String(),
			Ramp:    row.Ramp,
			Load:    row.Load,
			Silent:  now.Sub(row.LastAnnouncement).Round(time.Millisecond).String(),
		})
	}
	return report
}
