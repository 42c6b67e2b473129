package zfregion_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfslot"
	"zinniafront/io/zfwire"
	"zinniafront/lab/zfassert"
	"zinniafront/lab/zfregion"
)

// extraSeeds is the number of seeds that TestHardSchedules runs in addition to
// hardSeeds.
var extraSeeds = flag.Int("hard", 0, "number of additional seeds of TestHardSchedules")

// TestMain fixes the seed and the number of the random schedules unless flags
// set them.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{
		"rapid.seed":   "1",
		"rapid.checks": "12",
	}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func testBundle() *zfbundle.Bundle {
	bundle := &zfbundle.Bundle{
		Name:    "test",
		Version: 1,
		Limits:  zfbundle.DefaultLimits(),
	}
	bundle.Limits.Gone = 20 * time.Second
	for _, name := range []zf.CentreName{"one", "two", "three"} {
		bundle.Centres = append(bundle.Centres, zfbundle.Centre{
			Name:   name,
			Region: "test",
		})
	}
	for i, name := range []zf.ServiceName{"orders", "images"} {
		bundle.Services = append(bundle.Services, zfbundle.Service{
			Name:      name,
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{198, 51, 100, byte(i)})},
			Ports:     []uint16{443},
			Protocol:  zf.ProtocolTCP,
			Idle:      30 * time.Minute,
			Slots:     1024,
			Pool: zfbundle.Pool{
				Capacity: zf.Capacity{
					Slots:       2,
					Connections: 2000,
				},
			},
		})
	}
	return bundle
}

func testConfig(seed uint64, instances int) zfregion.Config {
	return zfregion.Config{
		Seed:      seed,
		Bundle:    testBundle(),
		Instances: instances,
		Servers: map[zf.ServiceName]int{
			"orders": 14,
			"images": 4,
		},
		Links: zfregion.LinkConfig{
			Delay:  500 * time.Microsecond,
			Jitter: time.Millisecond,
		},
		MaxStateDelay: time.Second,
		TickInterval:  50 * time.Millisecond,
		Mapper: func(_ zf.MemberView, start time.Time) zf.Mapper {
			return zfslot.New(zfslot.DefaultConfig(7, start))
		},
	}
}

// faultyLinks returns links that lose messages and packets, and delay and
// duplicate messages.
func faultyLinks() zfregion.LinkConfig {
	return zfregion.LinkConfig{
		Delay:         500 * time.Microsecond,
		Jitter:        time.Millisecond,
		LossRate:      0.005,
		LateRate:      0.01,
		LateDelay:     5 * time.Second,
		DuplicateRate: 0.01,
	}
}

func testLoad() zfregion.Load {
	return zfregion.Load{
		FlowRate:            60,
		MeanLifetime:        40 * time.Second,
		PacketInterval:      time.Second,
		QuietShare:          0.3,
		QuietPacketInterval: 30 * time.Second,
		UnclosedShare:       0.05,
		ResetShare:          0.05,
		SourcePorts:         3000,
	}
}

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// startRegion returns a region under load, all of whose instances are ready.
func startRegion(t failer, config zfregion.Config, load zfregion.Load) *zfregion.Region {
	t.Helper()
	r := zfregion.New(config)
	if !r.RunUntil(30*time.Second, func() bool { return len(r.ReadyInstances()) == config.Instances }) {
		t.Fatalf("only %d of %d instances became ready", len(r.ReadyInstances()), config.Instances)
	}
	r.Advance(3 * time.Second)
	r.Flows().SetLoad(load)
	return r
}

// assertPromises checks the guarantees for flows: none breaks or stays without
// a response, none is opened on a backend server long after the start of its
// drain, and no packet reaches another service.
func assertPromises(t failer, r *zfregion.Region) {
	t.Helper()
	result := r.Flows().Result()
	openedWhileDraining, wrongService := 0, 0
	for _, server := range r.Servers().List() {
		openedWhileDraining += server.OpenedWhileDraining
		wrongService += server.WrongService
	}
	if result.Opened == 0 || result.Broken > 0 || result.Unanswered > 0 || openedWhileDraining > 0 || wrongService > 0 {
		t.Fatalf("opened %d, broken %d, without a response %d, opened late on a draining backend server %d, packets for another service %d: %v",
			result.Opened, result.Broken, result.Unanswered, openedWhileDraining, wrongService, result.Causes)
	}
}

// runSchedule applies the events of a schedule under load, then heals the
// partitions.
func runSchedule(r *zfregion.Region, events []zfregion.Event) {
	r.Advance(10 * time.Second)
	for _, event := range events {
		r.Advance(event.After)
		r.Apply(event)
	}
	r.Heal()
	r.Advance(40 * time.Second)
}

// TestEvents runs the schedules of testdata: those that failed before, and one
// for each planned change.
func TestEvents(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			events := make([]zfregion.Event, 0, 8)
			for line := range strings.Lines(d.Input) {
				event, err := zfregion.ParseEvent(line)
				zfassert.NoError(t, err)
				events = append(events, event)
			}
			config := testConfig(1, 9)
			if d.HasArg("hard") {
				config.Links = faultyLinks()
				config.MaxStateDelay = 5 * time.Second
			}
			r := startRegion(t, config, testLoad())
			runSchedule(r, events)
			assertPromises(t, r)
			return fmt.Sprintf("every promise held, %d flow(s) refused\n", r.Flows().Result().Refused)
		})
	})
}

var actions = []zfregion.Action{
	zfregion.ActionDrain,
	zfregion.ActionUndrain,
	zfregion.ActionJoin,
	zfregion.ActionCrash,
	zfregion.ActionRevive,
	zfregion.ActionKill,
	zfregion.ActionStart,
	zfregion.ActionStart,
	zfregion.ActionStop,
	zfregion.ActionOut,
	zfregion.ActionIn,
	zfregion.ActionIn,
	zfregion.ActionRoll,
	zfregion.ActionDrain,
}

// TestSchedules runs random schedules on links that lose no messages.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := make([]zfregion.Event, rapid.IntRange(2, 12).Draw(rt, "events"))
		for i := range events {
			events[i] = zfregion.Event{
				After:  time.Duration(rapid.IntRange(0, 8000).Draw(rt, "after")) * time.Millisecond,
				Action: rapid.SampledFrom(actions).Draw(rt, "action"),
				Target: rapid.IntRange(0, 29).Draw(rt, "target"),
			}
		}
		r := startRegion(rt, testConfig(rapid.Uint64Range(0, 999).Draw(rt, "seed"), 9), testLoad())
		runSchedule(r, events)
		assertPromises(rt, r)
	})
}

// hardSeeds are the seeds of the schedules of TestHardSchedules. Those that
// fail are listed in KNOWN-RED.txt.
var hardSeeds = []uint64{1000, 1001, 1002, 1003, 1004, 1005, 1006, 1007, 1016, 1054, 1068, 1081, 1102, 1168, 1203, 1250, 2029, 2128}

// TestHardSchedules runs random schedules while links lose, duplicate and delay
// messages by up to 5 s, and control states reach the instances up to 5 s
// apart.
func TestHardSchedules(t *testing.T) {
	seeds := slices.Clone(hardSeeds)
	for i := range *extraSeeds {
		seeds = append(seeds, uint64(2000+i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 99))
			config := testConfig(seed, 9)
			config.Links = faultyLinks()
			config.MaxStateDelay = 5 * time.Second
			r := startRegion(t, config, testLoad())
			events := make([]zfregion.Event, 14)
			for i := range events {
				events[i] = zfregion.Event{
					After:  time.Duration(random.IntN(8000)) * time.Millisecond,
					Action: actions[random.IntN(len(actions))],
					Target: random.IntN(30),
				}
			}
			runSchedule(r, events)
			assertPromises(t, r)
		})
	}
}

// TestReplay checks that a run depends on its seed alone.
func TestReplay(t *testing.T) {
	run := func(seed uint64) uint64 {
		sum := fnv.New64a()
		config := testConfig(seed, 5)
		config.Links = faultyLinks()
		config.Trace = func(_ zf.Packet, line string) { fmt.Fprintln(sum, line) }
		r := startRegion(t, config, testLoad())
		runSchedule(r, []zfregion.Event{
			{Action: zfregion.ActionDrain},
			{Action: zfregion.ActionKill, After: time.Second, Target: 1},
			{Action: zfregion.ActionStart, After: 5 * time.Second, Target: 1},
		})
		return sum.Sum64()
	}
	zfassert.Equal(t, "digest of all packets", run(1), run(1))
	zfassert.True(t, "another seed differs", run(1) != run(2))
}

// imbalance returns the highest number of connections of a backend server over
// the mean.
func imbalance(r *zfregion.Region, service zf.ServiceName) float64 {
	highest, sum, count := 0, 0, 0
	for _, server := range r.Servers().List() {
		if server.Service == service {
			highest = max(highest, server.Connections())
			sum += server.Connections()
			count++
		}
	}
	return float64(highest) * float64(count) / float64(sum)
}

func TestBalance(t *testing.T) {
	config := testConfig(1, 6)
	config.Servers = map[zf.ServiceName]int{"orders": 6, "images": 2}
	longFlows := zfregion.Load{
		FlowRate:       800,
		MeanLifetime:   time.Hour,
		PacketInterval: 20 * time.Second,
	}
	r := startRegion(t, config, longFlows)
	r.Advance(30 * time.Second)
	t.Run("at 2,000 connections a server", func(t *testing.T) {
		zfassert.AtMost(t, "max over mean", imbalance(r, "orders"), 1.10)
		assertPromises(t, r)
	})
}

func TestControlBytes(t *testing.T) {
	codec, err := zfwire.New(zfwire.Config{
		Key: []byte("k"),
	})
	zfassert.NoError(t, err)
	for _, instances := range []int{9, 30} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			config := testConfig(1, instances)
			config.MessageSize = func(envelope zf.Envelope) int {
				datagram, err := codec.Encode(envelope)
				zfassert.NoError(t, err)
				return len(datagram)
			}
			r := startRegion(t, config, testLoad())
			sentBefore := make([]int, instances)
			for i, instance := range r.Instances() {
				sentBefore[i] = instance.SentBytes
			}
			r.Advance(20 * time.Second)
			for i, instance := range r.Instances() {
				zfassert.AtMost(t, "bytes a second", float64(instance.SentBytes-sentBefore[i])/20, 4096)
			}
		})
	}
}

func TestEvent(t *testing.T) {
	event, err := zfregion.ParseEvent("1.5s drain 3")
	zfassert.NoError(t, err)
	zfassert.Equal(t, "event", event.String(), "1.5s drain 3")
	_, err = zfregion.ParseEvent(filepath.Join("x", "y"))
	zfassert.True(t, "refused", err != nil)
}
