package zfcaller

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/lab/zfsegment"
	"zinniafront/lab/zftopology"
)

// ExpectedLossFile is the file that lists, one a line, the backend servers that
// an event killed and the data centres that it took out.
const ExpectedLossFile = "excused"

const (
	tickInterval       = 20 * time.Millisecond
	progressInterval   = 500 * time.Millisecond
	responseQueueSize  = 65536
	maxDatagramBytes   = 64 << 10
	receiveBufferBytes = 8 << 20
)

// Report holds the counts of all callers.
type Report struct {
	Flows    FlowStats    `json:"flows"`
	Requests RequestStats `json:"requests"`
}

// CallersConfig holds the parameters of the callers.
type CallersConfig struct {
	Folder       string
	Topology     *zftopology.Topology
	Clock        zf.Clock
	FlowRate     int
	MeanLifetime time.Duration
	RequestRate  int
}

// Callers opens flows and sends requests.
type Callers struct {
	config         CallersConfig
	conn           *net.UDPConn
	table          *Table
	responses      chan zfsegment.Segment
	expectedLosses map[string]bool
}

// Listen opens the socket that receives the responses.
func Listen(config CallersConfig) (*Callers, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(config.Topology.Callers))
	if err != nil {
		return nil, errors.Wrap(err, "listen for responses")
	}
	_ = conn.SetReadBuffer(receiveBufferBytes) // The system may grant less.
	c := &Callers{
		config:         config,
		conn:           conn,
		responses:      make(chan zfsegment.Segment, responseQueueSize),
		expectedLosses: make(map[string]bool),
	}
	c.table = NewTable(TableConfig{
		Topology:     config.Topology,
		Random:       rand.New(rand.NewPCG(config.Topology.Seed, 3)),
		Rate:         config.FlowRate,
		MeanLifetime: config.MeanLifetime,
		ExpectLoss:   c.isLossExpected,
		Start:        config.Clock.Now(),
	})
	return c, nil
}

func (c *Callers) isLossExpected(server string) bool {
	if c.expectedLosses[server] {
		return true
	}
	found := c.config.Topology.FindServer(server)
	return found != nil && c.expectedLosses[found.Centre]
}

// Run runs until ctx ends and returns the counts. While it runs, it writes
// those of flows to the file progress.json every progressInterval.
func (c *Callers) Run(ctx context.Context) Report {
	sender := NewRequestSender(SenderConfig{
		Topology: c.config.Topology,
		Random:   rand.New(rand.NewPCG(c.config.Topology.Seed, 4)),
		Clock:    c.config.Clock,
		Rate:     c.config.RequestRate,
	})
	requests := make(chan RequestStats, 1)
	go func() { requests <- sender.Run(ctx) }()
	go c.readResponses()
	defer c.conn.Close()
	lastReport := time.Time{}
	for {
		tick, release := c.config.Clock.After(tickInterval)
		if !c.handleResponsesUntil(ctx, tick) {
			release()
			break
		}
		now := c.config.Clock.Now()
		c.send(c.table.Tick(now))
		if now.Sub(lastReport) >= progressInterval {
			lastReport = now
			c.readExpectedLosses()
			// After an error the file is written again after progressInterval.
			_ = zftopology.WriteDocument(c.config.Folder, "progress.json", c.table.Stats())
		}
	}
	return Report{
		Flows:    c.table.Stats(),
		Requests: <-requests,
	}
}

// handleResponsesUntil handles responses until the tick. It reports false if
// ctx has ended.
func (c *Callers) handleResponsesUntil(ctx context.Context, tick <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-tick:
			return true
		case segment := <-c.responses:
			c.table.Receive(segment, c.config.Clock.Now())
		}
	}
}

func (c *Callers) readResponses() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // An ICMP error of an earlier write; the socket still works.
		}
		segment, err := zfsegment.Decode(buffer[:n])
		if err != nil {
			continue
		}
		segment.Payload = append([]byte(nil), segment.Payload...)
		select {
		case c.responses <- segment:
		default: // The queue is full; the flow retransmits its packet.
		}
	}
}

func (c *Callers) send(segments []zfsegment.Segment) {
	for _, segment := range segments {
		data, err := segment.Encode()
		if err != nil {
			continue
		}
		// The flow retransmits a lost packet.
		_, _ = c.conn.WriteToUDPAddrPort(data, c.config.Topology.Fabric)
	}
}

func (c *Callers) readExpectedLosses() {
	text, err := os.ReadFile(filepath.Join(c.config.Folder, ExpectedLossFile))
	if err != nil {
		return
	}
	for name := range strings.FieldsSeq(string(text)) {
		c.expectedLosses[name] = true
	}
}
