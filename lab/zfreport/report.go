// Package zfreport computes the report of a run from the files that its
// processes wrote, and decides which promises to users were broken.
package zfreport

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"zinniafront/lab/zfbackend"
	"zinniafront/lab/zfcaller"
	"zinniafront/lab/zftopology"
)

// Report is the result of one run.
type Report struct {
	Bundle string   `json:"bundle"`
	Seed   uint64   `json:"seed"`
	Events []string `json:"events"`
	// Promises lists the promises to users that were broken.
	Promises     []string                  `json:"promises"`
	Flows        zfcaller.FlowStats        `json:"flows"`
	Imbalance    map[string]float64        `json:"imbalance"`
	Availability Availability              `json:"service"`
	Requests     Requests                  `json:"requests"`
	Servers      []zfbackend.Stats         `json:"servers"`
	Control      map[string]float64        `json:"control"`
	Counters     map[string]map[string]int `json:"counters"`
}

// Availability holds the shares of openings that were answered.
type Availability struct {
	// Least is the lowest share over any windowSeconds, Overall that of the
	// whole run.
	Least   float64 `json:"least"`
	Overall float64 `json:"overall"`
}

// Requests holds the numbers of requests by outcome.
type Requests struct {
	Sent    int            `json:"sent"`
	Done    int            `json:"done"`
	Refused map[string]int `json:"refused"`
	Unknown map[string]int `json:"unknown"`
	Failed  int            `json:"failed"`
	// Doubled counts the repeated runs of a request, Lost the requests without
	// an outcome, Untrue the refusals with run "no" of requests that ran, Over
	// the requests that backend servers refused for lack of a slot.
	Doubled int `json:"doubled"`
	Lost    int `json:"lost"`
	Crossed int `json:"crossed"`
	Untrue  int `json:"untrue"`
	Over    int `json:"over"`
}

// Config holds the parameters of a report.
type Config struct {
	Folder   string
	Topology *zftopology.Topology
	Events   []string
	// Elapsed is how long the callers ran.
	Elapsed time.Duration
}

func readDocument(folder, name string, target any) error {
	text, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		return errors.Wrap(err, "read document")
	}
	return errors.Wrap(json.Unmarshal(text, target), "decode document")
}

// ServerFile is the file that a backend server writes at its end.
type ServerFile struct {
	Stats zfbackend.Stats `json:"stats"`
	Keys  []string        `json:"keys"`
}

// Build reads the files of a run and returns its report.
func Build(config Config) (*Report, error) {
	var callers zfcaller.Report
	if err := readDocument(config.Folder, "caller.json", &callers); err != nil {
		return nil, err
	}
	report := &Report{
		Bundle:    config.Topology.Bundle,
		Seed:      config.Topology.Seed,
		Events:    config.Events,
		Promises:  make([]string, 0),
		Flows:     callers.Flows,
		Imbalance: make(map[string]float64),
		Control:   make(map[string]float64),
		Counters:  make(map[string]map[string]int),
	}
	runsByKey, err := report.readServers(config)
	if err != nil {
		return nil, err
	}
	report.readCounters(config)
	report.computeImbalance()
	report.Availability = availabilityOf(callers.Flows.Seconds)
	report.countRequests(callers.Requests, runsByKey)
	report.checkPromises()
	return report, nil
}

// readServers reads the files of the backend servers and returns how often each
// request key ran. A backend server that was killed left no file.
func (r *Report) readServers(config Config) (map[string]int, error) {
	runsByKey := make(map[string]int)
	for _, server := range config.Topology.Servers {
		var file ServerFile
		err := readDocument(config.Folder, "server-"+server.Name+".json", &file)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		r.Servers = append(r.Servers, file.Stats)
		for _, key := range file.Keys {
			runsByKey[key]++
		}
	}
	return runsByKey, nil
}

// readCounters reads the counters that Collect wrote, and subtracts those from
// before the callers started. The counters of an instance that restarted since
// then began at zero.
func (r *Report) readCounters(config Config) {
	for _, instance := range config.Topology.Instances {
		values, ok := readValues(config.Folder, "end", instance.Name)
		if !ok {
			continue // The instance was killed.
		}
		before, _ := readValues(config.Folder, "start", instance.Name)
		restarted := values["packet.received"] < before["packet.received"] || values["control.bytes"] < before["control.bytes"]
		for name := range values {
			if !restarted {
				values[name] -= before[name]
			}
			if values[name] == 0 {
				delete(values, name)
			}
		}
		r.Counters[instance.Name] = values
		if config.Elapsed > 0 {
			r.Control[instance.Name] = float64(values["control.bytes"]) / config.Elapsed.Seconds()
		}
	}
}

// readValues returns the counters of an instance at the start or end of a run.
func readValues(folder, moment, name string) (map[string]int, bool) {
	counters := make(map[string]struct {
		Count int `json:"count"`
	})
	if err := readDocument(folder, moment+"-"+name+".json", &counters); err != nil {
		return nil, false
	}
	values := make(map[string]int, len(counters))
	for counter, value := range counters {
		values[counter] = value.Count
	}
	return values, true
}

// computeImbalance computes, for each service, the highest number of
// connections opened over the mean. It leaves out backend servers that were
// killed, opened none or failed under overload.
func (r *Report) computeImbalance() {
	opened := make(map[string][]int)
	for _, server := range r.Servers {
		if server.Opened > 0 && server.Falls == 0 {
			opened[server.Service] = append(opened[server.Service], server.Opened)
		}
	}
	for service, counts := range opened {
		sum := 0
		for _, count := range counts {
			sum += count
		}
		if sum > 0 {
			r.Imbalance[service] = float64(slices.Max(counts)) * float64(len(counts)) / float64(sum)
		}
	}
}

// windowSeconds is the length of the window of Availability.Least.
const windowSeconds = 3

func availabilityOf(seconds []zfcaller.SecondStats) Availability {
	availability := Availability{
		Least:   1,
		Overall: 1,
	}
	total := zfcaller.SecondStats{}
	for i := range seconds {
		sum := zfcaller.SecondStats{}
		for _, second := range seconds[i:min(i+windowSeconds, len(seconds))] {
			sum.Opened += second.Opened
			sum.Answered += second.Answered
		}
		if i+windowSeconds <= len(seconds) && sum.Opened > 0 {
			availability.Least = min(availability.Least, float64(sum.Answered)/float64(sum.Opened))
		}
		total.Opened += seconds[i].Opened
		total.Answered += seconds[i].Answered
	}
	if total.Opened > 0 {
		availability.Overall = min(1, float64(total.Answered)/float64(total.Opened))
	}
	return availability
}

// countRequests computes the numbers of requests by outcome from the counts of
// callers and backend servers.
func (r *Report) countRequests(stats zfcaller.RequestStats, runsByKey map[string]int) {
	r.Requests = Requests{
		Sent:    stats.Sent,
		Done:    stats.Done,
		Refused: stats.Refused,
		Unknown: stats.Unknown,
		Failed:  stats.Failed,
		Crossed: stats.Crossed,
	}
	for _, server := range r.Servers {
		r.Requests.Doubled += server.Doubled
		r.Requests.Over += server.Over
	}
	for _, times := range runsByKey {
		r.Requests.Doubled += times - 1
	}
	for _, key := range stats.NotRun {
		if runsByKey[key] > 0 {
			r.Requests.Untrue++
		}
	}
	r.Requests.Lost = stats.Sent - stats.Done - stats.Failed - stats.Crossed - sum(stats.Refused) - sum(stats.Unknown)
}

func sum(counts map[string]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// checkPromises lists the promises that were broken.
func (r *Report) checkPromises() {
	check := func(broken bool, format string, args ...any) {
		if broken {
			r.Promises = append(r.Promises, fmt.Sprintf(format, args...))
		}
	}
	broken := 0
	for _, count := range r.Flows.Broken {
		broken += count
	}
	foreign, late, falls := 0, 0, 0
	for _, server := range r.Servers {
		foreign += server.Foreign
		late += server.Late
		falls += server.Falls
	}
	check(r.Flows.Opened == 0, "no flow was opened")
	check(broken > 0, "%d established flow(s) broke", broken)
	check(foreign > 0 || r.Flows.Wrong > 0, "%d packet(s) reached a wrong service", foreign+r.Flows.Wrong)
	check(late > 0, "%d flow(s) opened at a leaving backend server after 3s", late)
	check(falls > 0, "%d cold backend server(s) fell over", falls)
	check(r.Requests.Crossed > 0, "%d answer(s) crossed", r.Requests.Crossed)
	check(r.Requests.Doubled > 0, "%d request(s) ran twice", r.Requests.Doubled)
	check(r.Requests.Lost > 0, "%d request(s) without an outcome", r.Requests.Lost)
	check(r.Requests.Untrue > 0, "%d refusal(s) said \"not run\" of a request that ran", r.Requests.Untrue)
}

// Collect writes the current counters of every instance into the run's folder.
func Collect(folder, moment string, topology *zftopology.Topology) {
	client := &http.Client{
		Timeout: time.Second,
	}
	for _, instance := range topology.Instances {
		response, err := client.Get("http://" + instance.Admin.String() + "/metrics")
		if err != nil {
			continue // The instance was killed.
		}
		var counters map[string]any
		if err := json.NewDecoder(response.Body).Decode(&counters); err == nil {
			_ = zftopology.WriteDocument(folder, moment+"-"+instance.Name+".json", counters) // Build skips a missing file.
		}
		_ = response.Body.Close()
	}
}

// String returns the report for a terminal.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "bundle %s, seed %d, events %v\n", r.Bundle, r.Seed, r.Events)
	fmt.Fprintf(&b, "flows: opened %d, broken %v, lost with their server or data centre %d, refused %d, held %d, resent packets %d of %d\n",
		r.Flows.Opened, r.Flows.Broken, r.Flows.Lost, r.Flows.Refused, r.Flows.Held, r.Flows.Resent, r.Flows.Packets)
	fmt.Fprintf(&b, "imbalance (max over mean): %v\n", r.Imbalance)
	fmt.Fprintf(&b, "service: openings answered %.4f of all, %.4f in the worst %d s\n", r.Availability.Overall, r.Availability.Least, windowSeconds)
	fmt.Fprintf(&b, "requests: sent %d, done %d, refused %v, unknown %v, failed %d, doubled %d, lost %d, crossed %d, untrue refusals %d, over a server's slots %d\n",
		r.Requests.Sent, r.Requests.Done, r.Requests.Refused, r.Requests.Unknown, r.Requests.Failed,
		r.Requests.Doubled, r.Requests.Lost, r.Requests.Crossed, r.Requests.Untrue, r.Requests.Over)
	for _, name := range sortedKeys(r.Control) {
		fmt.Fprintf(&b, "control bytes a second, %s: %.0f\n", name, r.Control[name])
	}
	for _, name := range r.instanceNames() {
		fmt.Fprintf(&b, "counters, %s: %s\n", name, formatCounters(r.Counters[name]))
	}
	if len(r.Promises) == 0 {
		b.WriteString("every promise held\n")
	}
	for _, promise := range r.Promises {
		fmt.Fprintf(&b, "PROMISE BROKEN: %s\n", promise)
	}
	return b.String()
}

func (r *Report) instanceNames() []string {
	names := make([]string, 0, len(r.Counters))
	for name := range r.Counters {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func sortedKeys(values map[string]float64) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// formatCounters formats the counters of packets, refusals and retries.
func formatCounters(counters map[string]int) string {
	parts := make([]string, 0, len(counters))
	for name, count := range counters {
		if strings.HasPrefix(name, "packet.") || strings.Contains(name, "refused") || strings.Contains(name, "retried") {
			parts = append(parts, fmt.Sprintf("%s=%d", name, count))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
