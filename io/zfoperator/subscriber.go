package zfoperator

import (
	"context"
	"net/netip"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfinstance"
	"zinniafront/io/zfevent"
)

const (
	// fetchWait is how long a control instance may hold back a reply.
	fetchWait = time.Second
	// fetchMargin is how much longer the reply may take.
	fetchMargin = time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed fetch.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
)

// SubscriberConfig holds what a subscriber is built from.
type SubscriberConfig struct {
	Instance  zf.InstanceName
	Centre    zf.CentreName
	Addresses []netip.AddrPort
	Verifier  zf.Verifier
	Clock     zf.Clock
	Random    zf.Random
	Logger    *zfevent.Logger
	// ApplyState applies a later control state and returns once it is in force.
	ApplyState func(zfinstance.State)
	// Ready reports whether the instance is ready for traffic.
	Ready func() bool
}

// Subscriber fetches the control state for an entry instance.
type Subscriber struct {
	config      SubscriberConfig
	sequence    uint64
	reached     bool
	nextAddress int
}

// NewSubscriber returns a subscriber that has not started.
func NewSubscriber(config SubscriberConfig) *Subscriber {
	return &Subscriber{
		config:  config,
		reached: true,
	}
}

// Run fetches until ctx ends. After a failure it pauses and goes on with the next
// control instance.
func (s *Subscriber) Run(ctx context.Context) {
	pause := minRetryPause
	for ctx.Err() == nil {
		if s.fetch(ctx) {
			pause = minRetryPause
			continue
		}
		s.nextAddress++
		jitter := time.Duration(s.config.Random.IntN(int(pause)))
		retry, release := s.config.Clock.After(pause/2 + jitter/2)
		select {
		case <-retry:
		case <-ctx.Done():
			release()
			return
		}
		pause = min(2*pause, maxRetryPause)
	}
}

func (s *Subscriber) fetch(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fetchWait+fetchMargin)
	defer cancel()
	address := s.config.Addresses[s.nextAddress%len(s.config.Addresses)]
	reply, err := NewClient([]netip.AddrPort{address}).Fetch(ctx, FetchArgs{
		Instance: s.config.Instance,
		Centre:   s.config.Centre,
		Sequence: s.sequence,
		Ready:    s.config.Ready(),
		Wait:     fetchWait,
	})
	if reached := err == nil; reached != s.reached {
		s.reached = reached
		event := zfevent.ControlUnreachable
		if reached {
			event = zfevent.ControlReachable
		}
		s.config.Logger.Entry(event).Str("address", address.String()).Err(err).Msg("")
	}
	if err != nil {
		return false
	}
	if reply.Sequence <= s.sequence {
		return true
	}
	if len(reply.Signed) == 0 {
		s.sequence = reply.Sequence
		return true
	}
	return s.applyReply(reply)
}

func (s *Subscriber) applyReply(reply FetchReply) bool {
	bundle, digest, err := openBundle(s.config.Verifier, reply.Signed)
	if err != nil {
		s.config.Logger.Entry(zfevent.StateRefused).Uint64("sequence", reply.Sequence).Err(err).Msg("")
		return false
	}
	s.sequence = reply.Sequence
	s.config.ApplyState(zfinstance.State{
		Sequence: reply.Sequence,
		Bundle:   bundle,
		Digest:   digest,
		Out:      reply.Out,
	})
	return true
}
