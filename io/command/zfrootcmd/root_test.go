package zfrootcmd_test

import (
	"bytes"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/command/zfrootcmd"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfoperator"
	"zinniafront/lab/zfassert"
)

// run runs a command line with DIR replaced by folder. It returns the output on both
// streams, with folder replaced by DIR, and the exit code.
func run(folder, input string, args ...string) (out string, code int) {
	var buffer bytes.Buffer
	f := &zfcmd.Factory{
		Streams: zfcmd.Streams{
			In:  strings.NewReader(input),
			Out: &buffer,
			Err: &buffer,
		},
		Clock:  zfclock.System{},
		Client: func(addresses []netip.AddrPort) *zfoperator.Client { return zfoperator.NewClient(addresses) },
	}
	for i := range args {
		args[i] = strings.ReplaceAll(args[i], "DIR", folder)
	}
	code = zfrootcmd.Main(f, args)
	return strings.ReplaceAll(buffer.String(), folder, "DIR"), code
}

func TestCommands(t *testing.T) {
	datadriven.RunTest(t, filepath.Join("testdata", "commands"), func(t *testing.T, d *datadriven.TestData) string {
		args := strings.Fields(d.Input)
		out, code := run(t.TempDir(), "", args...)
		lines := strings.SplitAfterN(out, "\n", 4)
		if len(lines) == 4 {
			lines[3] = "...\n"
		}
		return strings.Join(lines, "") + "exit " + string(rune('0'+code)) + "\n"
	})
}

func TestSign(t *testing.T) {
	folder := t.TempDir()
	bundle, err := filepath.Abs(filepath.Join("..", "..", "..", "examples", "collarcraft.json"))
	zfassert.NoError(t, err)
	steps := [][]string{
		{"key", "new", "sign", "--out", "DIR/ops.key"},
		{"bundle", "check", bundle, "--json"},
		{"bundle", "sign", bundle, "--key", "DIR/ops.key", "--out", "DIR/signed"},
	}
	for _, args := range steps {
		out, code := run(folder, "", args...)
		if code != zfcmd.ExitOK {
			t.Fatalf("%v: exit %d: %s", args, code, out)
		}
	}
	out, code := run(folder, "", "key", "new", "sign", "--out", "DIR/ops.key")
	zfassert.Equal(t, "exit code if the key file exists", code, zfcmd.ExitError)
	zfassert.Contains(t, out, "file exists")
}
