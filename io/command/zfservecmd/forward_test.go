package zfservecmd

import (
	"testing"
	"time"

	"zinniafront/io/zfdocument"
	"zinniafront/lab/zfassert"
)

func TestTurnWait(t *testing.T) {
	for _, c := range []struct {
		name  string
		most  time.Duration
		grace time.Duration
		drain time.Duration
		want  time.Duration
	}{
		{
			name:  "the instance has to leave the rotation in time",
			most:  20 * time.Second,
			grace: 6 * time.Second,
			drain: 3 * time.Second,
			want:  2500 * time.Millisecond,
		},
		{
			name:  "a longer bound doesn't count",
			most:  20 * time.Second,
			grace: 6 * time.Second,
			drain: 10 * time.Second,
			want:  6*time.Second - lameDuck - stopSlack,
		},
		{
			name:  "the platform ends a stop before the flag does",
			most:  20 * time.Second,
			grace: 6 * time.Second,
			want:  6*time.Second - lameDuck - stopSlack,
		},
		{
			name:  "the flag ends it first",
			most:  5 * time.Second,
			grace: 6 * time.Second,
			want:  5*time.Second - lameDuck - stopSlack,
		},
		{
			name: "nothing but the flag ends it",
			most: 5 * time.Second,
			want: 5*time.Second - lameDuck - stopSlack,
		},
		{
			name:  "there is no time to wait",
			most:  time.Second,
			grace: 6 * time.Second,
			want:  0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			wait := turnWait(c.most, zfdocument.Platform{
				Grace: c.grace,
				Drain: c.drain,
			})
			zfassert.Equal(t, "wait", wait, c.want)
		})
	}
}
