package zfdocument_test

import (
	"fmt"
	"testing"
	"time"

	"zinniafront/io/zfdocument"
	"zinniafront/lab/zfassert"
)

// forwardSettings returns the settings of an entry instance with a value for load.
func forwardSettings(load string) []byte {
	return fmt.Appendf(nil, `{
  "format": 1, "name": "e1", "centre": "one", "roles": ["forward"], "plain": true, "load": %s,
  "listen": {"traffic": "127.0.0.1:1", "ready": "127.0.0.1:2", "cluster": "127.0.0.1:3", "admin": "127.0.0.1:4"},
  "platform": {"seeds": ["127.0.0.1:5"], "centres": ["one"], "modes": {"forwarding": "echo", "hash": "steady",
    "discovery": "registry", "entry": "announcement", "versions": "highest"}}
}`, load)
}

func TestLoad(t *testing.T) {
	for _, c := range []struct {
		name string
		load string
		want zfdocument.Load
	}{
		{
			name: "without settings all is as before",
			load: "{}",
			want: zfdocument.Load{
				Placement: zfdocument.PlacementCount,
			},
		},
		{
			name: "each part",
			load: `{"placement": "wait", "admission": "room", "early": "hold", "leaving": {"kilobyte": "20ms"}}`,
			want: zfdocument.Load{
				Placement: zfdocument.PlacementWait,
				Admission: true,
				Hold:      true,
				Leaving:   true,
				Kilobyte:  20 * time.Millisecond,
			},
		},
		{
			name: "the default price",
			load: `{"leaving": {}}`,
			want: zfdocument.Load{
				Placement: zfdocument.PlacementCount,
				Leaving:   true,
				Kilobyte:  5 * time.Millisecond,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings, err := zfdocument.ParseSettings(forwardSettings(c.load), "")
			zfassert.NoError(t, err)
			zfassert.Equal(t, "load", settings.Load, c.want)
		})
	}
	for _, load := range []string{
		`{"placement": "fast"}`, `{"admission": "yes"}`, `{"early": "keep"}`, `{"leaving": {"kilobyte": "5"}}`, `{"leave": {}}`,
	} {
		t.Run("refused: "+load, func(t *testing.T) {
			_, err := zfdocument.ParseSettings(forwardSettings(load), "")
			zfassert.True(t, "an error", err != nil)
			zfassert.Contains(t, err.Error(), "/load")
		})
	}
}
