package zflabcmd

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfentryloop"
	"zinniafront/lab/zfcaller"
	"zinniafront/lab/zftopology"
)

var errPromiseBroken = errors.New("a promise was broken")

// WaitOptions are the flags of wait.
type WaitOptions struct {
	Dir     string        `name:"dir" required:"" help:"Folder of the run."`
	Timeout time.Duration `name:"timeout" default:"20s" help:"How long to wait."`
	// Instances restricts the wait to these instances.
	Instances []string `name:"instance" help:"Instance to query; all by default."`
	For       string   `arg:"" enum:"up,ready,server,moved,flows,gone" help:"up: the instance answers; ready: it accepts traffic; server: the backend server has the state; moved: every slot has a backend server and no change is pending; flows: that many flows were opened; gone: the instance does not answer."`
	Server    string   `name:"server" help:"Backend server to wait for."`
	State     string   `name:"state" help:"State to wait for; several separated by a slash."`
	Count     int      `name:"count" default:"1" help:"Number of flows or backend servers to wait for."`

	clock zf.Clock
}

// Run runs the command.
func (o *WaitOptions) Run(f *zfcmd.Factory) error {
	o.clock = f.Clock
	return waitRun(o)
}

const waitInterval = 50 * time.Millisecond

func waitRun(o *WaitOptions) error {
	topology, err := zftopology.Read(o.Dir)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout)
	defer cancel()
	for !o.reached(ctx, topology) {
		wake, release := o.clock.After(waitInterval)
		select {
		case <-wake:
		case <-ctx.Done():
			release()
			return errors.Wrapf(zfcmd.ErrTimeout, "%s %s %s", o.For, o.Server, o.State)
		}
	}
	return nil
}

func (o *WaitOptions) reached(ctx context.Context, topology *zftopology.Topology) bool {
	if o.For == "flows" {
		var stats zfcaller.FlowStats
		text, err := os.ReadFile(filepath.Join(o.Dir, "progress.json"))
		return err == nil && json.Unmarshal(text, &stats) == nil && stats.Opened >= o.Count
	}
	for _, instance := range topology.Instances {
		if len(o.Instances) > 0 && !slices.Contains(o.Instances, instance.Name) {
			continue
		}
		report, err := fetchState(ctx, instance)
		if (err != nil) != (o.For == "gone") {
			return false
		}
		if err == nil && !o.satisfied(report) {
			return false
		}
	}
	return true
}

func fetchState(ctx context.Context, instance zftopology.Instance) (zfentryloop.Report, error) {
	var report zfentryloop.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance.Admin.String()+"/state", nil)
	if err != nil {
		return report, errors.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return report, errors.Wrap(err, "query state of instance")
	}
	defer response.Body.Close()
	return report, errors.Wrap(json.NewDecoder(response.Body).Decode(&report), "decode state")
}

func (o *WaitOptions) satisfied(report zfentryloop.Report) bool {
	switch o.For {
	case "ready":
		return report.Ready
	case "moved":
		return report.Mapper.Pending == 0 && report.Mapper.Unplaced == 0
	case "server":
		matching := 0
		for _, server := range report.Servers {
			if (o.Server == "" || server.Name == o.Server) && matches(o.State, server.State) {
				matching++
			}
		}
		return matching >= o.Count
	default:
		return true
	}
}

// matches reports whether a state is one of those separated by slashes.
func matches(wanted, state string) bool {
	return slices.Contains(strings.Split(wanted, "/"), state)
}
