package zfdocument_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"zinniafront/io/zfdocument"
	"zinniafront/lab/zfassert"
)

// render fills in a settings template from the JSON of fields. A section is rendered once
// if its field is present, an inverted one if it is missing.
func render(t testing.TB, template string, fields map[string]string) string {
	t.Helper()
	before, rest, found := strings.Cut(template, "{{")
	if !found {
		return template
	}
	tag, rest, _ := strings.Cut(rest, "}}")
	name := strings.TrimLeft(tag, "#^")
	if name != tag {
		inner, after, closed := strings.Cut(rest, "{{/"+name+"}}")
		zfassert.True(t, "end of section "+name, closed)
		if _, present := fields[name]; present == (tag[0] == '^') {
			inner = ""
		}
		return before + render(t, inner, fields) + render(t, after, fields)
	}
	value, asJSON := strings.CutSuffix(tag, "|json")
	text, present := fields[value]
	if asJSON && !present {
		text = "null"
	}
	return before + text + render(t, rest, fields)
}

func TestTemplate(t *testing.T) {
	template, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.json.template"))
	zfassert.NoError(t, err)
	for _, c := range []struct {
		name   string
		limits map[string]string
		want   zfdocument.Resources
	}{
		{
			name: "all limits",
			limits: map[string]string{
				"Limits.CpuShare": "0.144",
				"Limits.MemoryMb": "98",
				"Limits.LinkMbps": "1.5",
				"Limits.FdLimit":  "3075",
			},
			want: zfdocument.Resources{
				Processor:   0.144,
				Memory:      98,
				Link:        1.5,
				Descriptors: 3075,
			},
		},
		{
			name: "limits of 0 and missing ones",
			limits: map[string]string{
				"Limits.CpuShare": "0.4",
				"Limits.LinkMbps": "0",
			},
			want: zfdocument.Resources{
				Processor: 0.4,
			},
		},
		{
			name: "no limits",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var settings struct{ Resources zfdocument.Resources }
			zfassert.NoError(t, json.Unmarshal([]byte(render(t, string(template), c.limits)), &settings))
			zfassert.Equal(t, "resources", settings.Resources, c.want)
		})
	}
}
