// Command zfcase runs one case of the review against the real programs. It exits with 1
// if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"

	"zinniafront/review/zfreview"
)

// program is what the build of the deploy file leaves, from a case's folder.
const program = "../../target/zinniafront"

// environment is what a case runs in.
type environment struct {
	record *zfreview.Record
	// trouble is false if the case is to run without its disruption.
	trouble bool
}

var cases = map[string]func(environment) (broken bool, err error){
	"stale-order":       staleOrder,
	"foreign-heartbeat": foreignHeartbeat,
	"silent-servers":    silentServers,
	"lost-drain":        lostDrain,
	"missing-field":     missingField,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: zfcase CASE, in the folder of the case")
		return 2
	}
	record, err := zfreview.NewRecord("record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	broken, err := cases[os.Args[1]](environment{
		record:  record,
		trouble: os.Getenv("TROUBLE") != "0",
	})
	switch {
	case err != nil:
		record.Printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		record.Printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		record.Printf("result: the rule held")
		fmt.Println("the rule held")
		return 0
	}
}

// small starts a deployment with three control instances and puts a configuration in
// force that routes to the services.
func (e environment) small(entries []string, services ...string) (*zfreview.Deployment, *zfreview.Operator, error) {
	d, err := zfreview.Start(zfreview.Config{
		Program: program,
		Zones:   []string{"hobart", "kingston", "new-norfolk"},
		Entries: entries,
		Record:  e.record,
	})
	if err != nil {
		return nil, nil, err
	}
	operator := zfreview.NewOperator(d)
	if err := operator.Put(0, zfreview.NewConfiguration(3, services...)); err != nil {
		d.Stop()
		return nil, nil, err
	}
	if err := d.WaitReady(startTimeout); err != nil {
		d.Stop()
		return nil, nil, err
	}
	return d, operator, nil
}
