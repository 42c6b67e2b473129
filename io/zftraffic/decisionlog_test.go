package zftraffic_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/io/zfevent"
	"zinniafront/io/zftraffic"
	"zinniafront/lab/zfassert"
)

func TestDecisionLog(t *testing.T) {
	var out bytes.Buffer
	decisions := zftraffic.NewDecisionLog(zfevent.New(zfevent.Config{
		Output: &out,
		Level:  "info",
	}), func(time.Time) (uint64, time.Duration) { return 1, 0 })
	now := time.Unix(1000, 0)
	t.Run("a flood of new flows is limited", func(t *testing.T) {
		for range 1000 {
			decisions.Log(zf.Packet{
				Kind: zf.PacketOpening,
			}, zf.Verdict{
				Action: zf.ActionForward,
			}, now)
		}
		zfassert.Equal(t, "lines", strings.Count(out.String(), "\n"), 20)
	})
	for _, c := range []struct {
		name    string
		verdict zf.Verdict
		parts   []string
	}{
		{
			name: "a reset of an open flow is logged during a flood, with its backend server",
			verdict: zf.Verdict{
				Action: zf.ActionReset,
				Number: 0xabc,
				Reason: zf.ReasonServerUnresponsive,
			},
			parts: []string{`"event":5002`, `"reason":"serverunresponsive"`, `"server":"abc"`},
		},
		{
			name: "a flow that moves is logged, with both backend servers",
			verdict: zf.Verdict{
				Action:   zf.ActionForward,
				Number:   0xdef,
				Previous: 0xabc,
			},
			parts: []string{`"event":5007`, `"server":"def"`, `"previous":"abc"`},
		},
		{
			name: "a packet forwarded as before is not logged",
			verdict: zf.Verdict{
				Action: zf.ActionForward,
				Number: 0xdef,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			out.Reset()
			decisions.Log(zf.Packet{
				Kind: zf.PacketMidFlow,
			}, c.verdict, now)
			for _, part := range c.parts {
				zfassert.Contains(t, out.String(), part)
			}
			zfassert.Equal(t, "logged", out.Len() > 0, len(c.parts) > 0)
		})
	}
}

func TestStrainedDecisionLog(t *testing.T) {
	var out bytes.Buffer
	decisions := zftraffic.NewDecisionLog(zfevent.New(zfevent.Config{
		Output: &out,
		Level:  "info",
	}), func(time.Time) (uint64, time.Duration) { return 1, 0 })
	decisions.SetStrain(zf.StrainShort)
	now := time.Unix(1000, 0)
	// lines counts the lines of ten decisions a second, after those logged at once.
	lines := func(action zf.Action, kind zf.PacketKind) int {
		count := 0
		for i := range 300 {
			now = now.Add(100 * time.Millisecond)
			out.Reset()
			decisions.Log(zf.Packet{
				Kind: kind,
			}, zf.Verdict{
				Action: action,
			}, now)
			if i >= 200 && out.Len() > 0 {
				count++
			}
		}
		return count
	}
	t.Run("a short processor logs one new flow a second", func(t *testing.T) {
		lines(zf.ActionForward, zf.PacketOpening)
		zfassert.Equal(t, "lines", lines(zf.ActionForward, zf.PacketOpening), 10)
	})
	t.Run("and each reset of an open flow", func(t *testing.T) {
		zfassert.Equal(t, "lines", lines(zf.ActionReset, zf.PacketMidFlow), 100)
	})
}
