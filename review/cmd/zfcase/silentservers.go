package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"zinniafront/review/zfreview"
)

const (
	// dispatchServers is the number of backend servers of the service, half of them in
	// each of two zones. crashedServers of them crash: 0.15 of the service.
	dispatchServers = 20
	crashedServers  = 3
	// boardServers is the number of backend servers of the other service.
	boardServers = 4
	boardPause   = 100 * time.Millisecond
	// period is the time between two requests of a flow.
	period = 2 * time.Second
	// early is the time from the crash to the requests at the crashed backend servers,
	// late to those at the others.
	early = 100 * time.Millisecond
	late  = 700 * time.Millisecond
	// rounds is the number of requests of each flow before the crash.
	rounds = 2
)

// silentServers checks FLOW: if a few backend servers of a zone crash, the flows of the
// others must not be reset.
func silentServers(e environment) (bool, error) {
	d, _, err := e.small([]string{"new-norfolk"}, "dispatch", "board")
	if err != nil {
		return false, err
	}
	defer d.Stop()
	servers := make(map[string]*zfreview.Server)
	for i := range dispatchServers + boardServers {
		config := zfreview.ServerConfig{
			Number:  uint64(0x7f3a0001 + i),
			Service: "dispatch",
			Zone:    []string{"hobart", "kingston"}[i%2],
			Host:    101 + i,
			Work:    workTime,
			Home:    i,
		}
		if i >= dispatchServers {
			config.Service, config.Zone = "board", "new-norfolk"
		}
		s, err := d.StartServer(config)
		if err != nil {
			return false, err
		}
		defer s.Crash()
		servers[s.ID()] = s
	}
	callers, err := d.StartCallers()
	if err != nil {
		return false, err
	}
	defer callers.Close()
	time.Sleep(zfreview.ContactTime)

	flows, err := oneFlowEach(callers, d.Entries[0], servers)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var board sync.WaitGroup
	defer board.Wait()
	defer close(stop)
	board.Go(func() { watchBoard(callers, d.Entries[0], stop) })

	var crashed, others []*zfreview.Flow
	var victims []*zfreview.Server
	for id, flow := range flows {
		switch {
		case servers[id].Zone() == "hobart" && len(crashed) < crashedServers:
			crashed = append(crashed, flow)
			victims = append(victims, servers[id])
		default:
			others = append(others, flow)
		}
	}
	for round := range rounds + 1 {
		start := time.Now()
		if round == rounds && e.trouble {
			for _, s := range victims {
				e.record.Printf("%s in %s crashes", s.ID(), s.Zone())
				s.Crash()
			}
		}
		resets, err := sendRound(e, start, crashed, others)
		if err != nil {
			return false, err
		}
		if resets > 0 {
			return true, nil
		}
		time.Sleep(time.Until(start.Add(period)))
	}
	return false, nil
}

// sendRound sends one request on each flow. It returns how many flows of backend servers
// that live were reset by the system.
func sendRound(e environment, start time.Time, crashed, others []*zfreview.Flow) (int, error) {
	var wait sync.WaitGroup
	var mutex sync.Mutex
	resets, failed := 0, 0
	for i, flow := range crashed {
		wait.Go(func() {
			time.Sleep(time.Until(start.Add(early + time.Duration(i)*20*time.Millisecond)))
			flow.Request(time.Second)
		})
	}
	for i, flow := range others {
		wait.Go(func() {
			time.Sleep(time.Until(start.Add(late + time.Duration(i)*5*time.Millisecond)))
			outcome, _ := flow.Request(time.Second)
			mutex.Lock()
			defer mutex.Unlock()
			switch outcome {
			case zfreview.Answered:
			case zfreview.SystemReset:
				resets++
			default:
				failed++
			}
		})
	}
	wait.Wait()
	e.record.Printf("%d of %d flows of living backend servers reset by the system, %d failed otherwise", resets, len(others), failed)
	if failed > 0 {
		return resets, errors.Errorf("%d requests failed in another way", failed)
	}
	return resets, nil
}

// oneFlowEach opens flows until there is one to each backend server of the service
// dispatch, and sends a request on each. The others are closed.
func oneFlowEach(callers *zfreview.Callers, entry *zfreview.Process, servers map[string]*zfreview.Server) (map[string]*zfreview.Flow, error) {
	flows := make(map[string]*zfreview.Flow)
	for range 40 * dispatchServers {
		flow, outcome := callers.Open(entry, zfreview.RouteAddress(0))
		if outcome != zfreview.Answered {
			return nil, fmt.Errorf("flow %s", outcome)
		}
		outcome, stamp := flow.Request(time.Second)
		if outcome != zfreview.Answered || servers[stamp] == nil {
			return nil, fmt.Errorf("first request %s", outcome)
		}
		if flows[stamp] != nil {
			flow.Close()
			continue
		}
		flows[stamp] = flow
		if len(flows) == dispatchServers {
			return flows, nil
		}
	}
	return nil, errors.New("not every backend server got a flow")
}

// watchBoard sends requests to the service board until stop is closed.
func watchBoard(callers *zfreview.Callers, entry *zfreview.Process, stop <-chan struct{}) {
	var flow *zfreview.Flow
	for {
		if flow == nil {
			flow, _ = callers.Open(entry, zfreview.RouteAddress(1))
		}
		if flow != nil {
			if outcome, _ := flow.Request(time.Second); outcome != zfreview.Answered {
				flow = nil
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(boardPause):
		}
	}
}
