package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ports are the port numbers of a deployment; they are the same on all machines.
type ports struct {
	traffic, ready, control, cluster, admin, host uint16
}

// run is one run of a case.
type run struct {
	program string
	folder  string
	start   time.Time
	ports   ports
	// subnet is the second octet of all addresses, which are loopback addresses.
	subnet byte

	mutex     sync.Mutex
	record    *os.File
	processes []*process
	closed    bool
}

// newRun opens the record in a case's folder and finds free ports.
func newRun(program, caseFolder string) (*run, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, errors.Wrap(err, "create temporary folder")
	}
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "create record")
	}
	r := &run{
		program: program,
		folder:  folder,
		start:   time.Now(),
		record:  record,
		subnet:  byte(64 + rand.IntN(128)),
	}
	if err := r.findPorts(); err != nil {
		return nil, err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		r.close()
		os.Exit(exitInvalid)
	}()
	return r, nil
}

// findPorts finds six ports in a row that are free on all loopback addresses.
func (r *run) findPorts() error {
	for range 50 {
		first := uint16(15000 + rand.IntN(15000))
		free := true
		for port := first; port < first+6; port++ {
			free = free && isFree(port)
		}
		if free {
			r.ports = ports{first, first + 1, first + 2, first + 3, first + 4, first + 5}
			return nil
		}
	}
	return errors.New("found no free ports")
}

func isFree(port uint16) bool {
	address := netip.AddrPortFrom(netip.IPv4Unspecified(), port)
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	defer listener.Close()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

// address returns the address of a machine.
func (r *run) address(net, machine int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, r.subnet, byte(net), byte(machine)})
}

// log writes a line to the record and to standard output.
func (r *run) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The record is the only place to report to.
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

// close ends all processes that the run started and removes its temporary folder.
func (r *run) close() {
	r.mutex.Lock()
	if r.closed {
		r.mutex.Unlock()
		return
	}
	r.closed = true
	processes := r.processes
	r.mutex.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder) // What is left of it does no harm.
	}
}
