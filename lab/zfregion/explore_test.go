package zfregion_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/lab/zfregion"
)

func TestSeeds(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("N"))
	from, _ := strconv.Atoi(os.Getenv("FROM"))
	part := os.Getenv("PART") != ""
	bad := 0
	for seed := from; seed < from+n; seed++ {
		rnd := rand.New(rand.NewPCG(uint64(seed), 99))
		cfg := testConfig(uint64(seed))
		cfg.Links.Loss = 0.005
		cfg.Links.Late = 0.01
		cfg.Links.LateBy = 5 * time.Second
		cfg.Links.Doubled = 0.01
		cfg.Spread = 5 * time.Second
		var lines []string
		src := os.Getenv("SRC")
		cfg.Trace = func(p zf.Packet, line string) {
			if src != "" && p.Flow.Source.String() == src {
				lines = append(lines, line)
			}
		}
		r := zfregion.New(cfg)
		if !r.Until(30*time.Second, func() bool { return len(r.Ready()) == 9 }) {
			t.Errorf("seed %d not ready", seed)
			continue
		}
		r.Advance(3 * time.Second)
		r.Flows().SetLoad(zfregion.Load{
			Rate: 60, Life: 40 * time.Second, Every: time.Second, Quiet: 0.3, QuietEvery: 30 * time.Second, Unclosed: 0.05, Reset: 0.05, Ports: 3000,
		})
		r.Advance(10 * time.Second)
		acts := []zfregion.Action{"drain", "undrain", "join", "crash", "revive", "kill", "start", "start", "stop", "out", "in", "in", "roll", "drain"}
		if part {
			acts = append(acts, "partition", "heal", "heal")
		}
		var events []zfregion.Event
		for range 14 {
			e := zfregion.Event{After: time.Duration(rnd.IntN(8000)) * time.Millisecond, Action: acts[rnd.IntN(len(acts))], Target: rnd.IntN(30)}
			events = append(events, e)
			r.Advance(e.After)
			r.Apply(e)
		}
		r.Heal()
		for range 8 {
			r.Advance(5 * time.Second)
		}
		res := r.Flows().Result()
		late, foreign := 0, 0
		for _, s := range r.Servers().List() {
			late += s.Late
			foreign += s.Foreign
		}
		if res.Broken > 0 || res.Silent > 0 || late > 0 || foreign > 0 {
			bad++
			for _, l := range lines {
				t.Log(l)
			}
			t.Logf("seed %d: late %d foreign %d %+v\n%v\n%v", seed, late, foreign, res, events, r.Reasons)
		}
	}
	t.Logf("bad %d of %d", bad, n)
}
