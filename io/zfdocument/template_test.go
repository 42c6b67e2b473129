package zfdocument_test

import (
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
	switch {
	case !asJSON:
		text = strings.Trim(text, `"`)
	case !present:
		text = "null"
	}
	return before + text + render(t, rest, fields)
}

// settingsFields returns the fields of an entry instance without limits.
func settingsFields() map[string]string {
	return map[string]string{
		"NodeName":                `"e1"`,
		"Zone":                    `"one"`,
		"Ip":                      `"10.0.0.1"`,
		"InternalPorts.0":         `7000`,
		"Listen.DatagramAddress":  `"10.0.0.1:8000"`,
		"Listen.Ready":            `"10.0.0.1:8001"`,
		"Seeds":                   `["10.0.0.2:8002"]`,
		"Zones":                   `{}`,
		"@":                       `"one"`,
		"Bootstrap":               `false`,
		"FaultTolerance.Machines": `1`,
		"HeartbeatIntervalMs":     `1000`,
		"ForwardingMode":          `"echo"`,
		"Hash":                    `"steady"`,
		"Discovery":               `"registry"`,
		"Entry":                   `"announcement"`,
		"config_mode":             `"highest"`,
	}
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
			fields := settingsFields()
			for name, value := range c.limits {
				fields[name] = value
			}
			settings, err := zfdocument.ParseSettings([]byte(render(t, string(template), fields)), "/")
			zfassert.NoError(t, err)
			zfassert.Equal(t, "resources", settings.Resources, c.want)
		})
	}
}
