package zfservecmd

import (
	"testing"
	"time"

	"zinniafront/io/zfdocument"
	"zinniafront/lab/zfassert"
)

func TestTurnWait(t *testing.T) {
	for _, c := range []struct {
		name        string
		stopTimeout time.Duration
		grace       time.Duration
		drain       time.Duration
		want        time.Duration
	}{
		{
			name:        "the stop grace less 2 s is the tightest bound",
			stopTimeout: 20 * time.Second,
			grace:       6 * time.Second,
			drain:       4 * time.Second,
			want:        2500 * time.Millisecond,
		},
		{
			name:        "the drain timeout is the tightest bound",
			stopTimeout: 20 * time.Second,
			grace:       6 * time.Second,
			drain:       2 * time.Second,
			want:        1500 * time.Millisecond,
		},
		{
			name:        "the flag is the tightest bound",
			stopTimeout: 5 * time.Second,
			grace:       6 * time.Second,
			want:        1500 * time.Millisecond,
		},
		{
			name:        "only the flag is set",
			stopTimeout: 5 * time.Second,
			want:        1500 * time.Millisecond,
		},
		{
			name:        "no time is left to wait",
			stopTimeout: time.Second,
			grace:       6 * time.Second,
			want:        0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			wait := maxPermitWait(c.stopTimeout, zfdocument.Platform{
				StopGrace:    c.grace,
				DrainTimeout: c.drain,
			})
			zfassert.Equal(t, "wait", wait, c.want)
		})
	}
}
