package main

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// successorTime is how long each successor runs before its predecessor is stopped: the
// page's CatchUpS and half a second.
const successorTime = catchUpTime + 500*time.Millisecond

// rollingReplacement replaces two of three core machines, one after the other, each by a
// machine at a new address with an empty disk that has had CatchUpS before its predecessor
// gets SIGTERM. Afterwards the operator reads the configuration back.
func rollingReplacement(r *run, trouble bool) (verdict, error) {
	var keepers []*process
	for zone := range zones {
		keepers = append(keepers, r.addProcess("core-"+zones[zone]+"-1", zone, 10, true))
	}
	var entries []*process
	for zone := range zones {
		entries = append(entries, r.addProcess("frontend-"+zones[zone]+"-1", zone, 20, false))
	}
	seeds := controlAddresses(r, keepers)
	for _, p := range append(append([]*process(nil), keepers...), entries...) {
		if err := p.start(true, seeds); err != nil {
			return verdict{}, err
		}
	}
	o := newOperator(r, keepers)
	if err := o.replace(newConfiguration(7, 2*time.Second, 0), 10*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * contactTime)
	const newest = 9
	if err := o.replace(newConfiguration(newest, 2*time.Second, 0), 5*time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	nodes := keepers
	if trouble {
		for zone := range 2 {
			successor := r.addProcess(fmt.Sprintf("core-%s-2", zones[zone]), zone, 11, true)
			r.log("%s starts, with an empty disk", successor.name)
			if err := successor.start(false, controlAddresses(r, nodes)); err != nil {
				return verdict{}, err
			}
			time.Sleep(successorTime)
			r.log("SIGTERM to %s, which is removed", keepers[zone].name)
			keepers[zone].stop()
			r.log("%s has ended", keepers[zone].name)
			nodes = append(nodes, successor)
		}
	} else {
		time.Sleep(2 * successorTime)
	}
	return readBack(r, nodes, newest)
}

// readBack waits for RecoveryS and reads the configuration, then sends another one.
func readBack(r *run, nodes []*process, newest uint64) (verdict, error) {
	r.log("wait for RecoveryS and ContactMs")
	time.Sleep(recoveryTime + contactTime)
	o := newOperator(r, nodes)
	answers := make(map[string]int)
	for end := time.Now().Add(2 * contactTime); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, node := range nodes {
			if !node.running() {
				continue
			}
			status, version := o.read(node)
			answers[fmt.Sprintf("status %d version %d", status, version)]++
			r.log("read at %s: status %d, version %d", node.name, status, version)
		}
	}
	good := answers[fmt.Sprintf("status 200 version %d", newest)]
	if err := o.replace(newConfiguration(newest+2, 2*time.Second, 0), 10*time.Second); err != nil {
		r.log("%v", err)
	}
	if len(answers) == 0 {
		return verdict{}, errors.New("no node runs")
	}
	return verdict{
		broken: good == 0,
		text:   fmt.Sprintf("configuration %d was acknowledged; answers to reads: %v", newest, answers),
	}, nil
}

func controlAddresses(r *run, nodes []*process) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, node := range nodes {
		if node.running() || node.command == nil {
			addresses = append(addresses, node.at(r.ports.control))
		}
	}
	return addresses[:min(len(addresses), 3)]
}
