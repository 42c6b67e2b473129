package zfcaller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	zf "zinniafront"
	"zinniafront/lab/zftopology"
)

// RequestStats holds the numbers of requests by outcome.
type RequestStats struct {
	Sent int `json:"sent"`
	Done int `json:"done"`
	// Refused counts by problem type the refusals with run "no", which means
	// that the request did not run; Unknown counts by type or status the
	// responses that leave this open, Failed the requests without a response.
	Refused map[string]int `json:"refused"`
	Unknown map[string]int `json:"unknown"`
	Failed  int            `json:"failed"`
	// Crossed counts responses that belong to another request.
	Crossed int `json:"crossed"`
	// NotRun and Ran hold the keys of the at-most-once requests that were
	// refused with run "no" and of those that succeeded.
	NotRun []string `json:"notrun"`
	Ran    []string `json:"ran"`
}

const (
	requestTimeout   = 12 * time.Second
	maxResponseBytes = 1 << 20
)

// SenderConfig holds the parameters of a RequestSender.
type SenderConfig struct {
	Topology *zftopology.Topology
	Random   zf.Random
	Clock    zf.Clock
	// Rate is the number of requests each second.
	Rate int
}

// RequestSender sends requests to the HTTP front ends of random instances.
type RequestSender struct {
	config SenderConfig
	client *http.Client
	mutex  sync.Mutex
	stats  RequestStats
}

// NewRequestSender returns a sender of requests.
func NewRequestSender(config SenderConfig) *RequestSender {
	return &RequestSender{
		config: config,
		client: &http.Client{
			Timeout: requestTimeout,
		},
		stats: RequestStats{
			Refused: make(map[string]int),
			Unknown: make(map[string]int),
		},
	}
}

// Run sends requests until ctx ends, then waits for the responses.
func (s *RequestSender) Run(ctx context.Context) RequestStats {
	var running sync.WaitGroup
	interval := time.Second / time.Duration(max(1, s.config.Rate))
	for n := 0; ctx.Err() == nil && s.config.Rate > 0; n++ {
		service := &s.config.Topology.Services[n%len(s.config.Topology.Services)]
		first := s.config.Random.IntN(len(s.config.Topology.Instances))
		running.Go(func() { s.send(service, n, first) })
		wake, release := s.config.Clock.After(interval)
		select {
		case <-wake:
		case <-ctx.Done():
		}
		release()
	}
	running.Wait()
	return s.stats
}

// send sends one request. If an instance refuses the connection, it tries the
// next one.
func (s *RequestSender) send(service *zftopology.Service, n, first int) {
	key := fmt.Sprintf("%s-%d", service.Name, n)
	token := fmt.Sprintf("token-%d", n)
	s.update(func(stats *RequestStats) { stats.Sent++ })
	instances := s.config.Topology.Instances
	for i := range instances {
		front := instances[(first+i)%len(instances)].Front
		request, err := http.NewRequest(http.MethodPost, "http://"+front.String()+"/order", strings.NewReader(token))
		if err != nil {
			break
		}
		request.Host = service.Name
		if service.AtMostOnce {
			request.Header.Set("Idempotency-Key", key)
		}
		response, err := s.client.Do(request)
		if err != nil && strings.Contains(err.Error(), "connection refused") {
			continue
		}
		if err != nil {
			break
		}
		s.recordResponse(service, key, token, response)
		return
	}
	s.update(func(stats *RequestStats) { stats.Failed++ })
}

// recordResponse records the outcome of a request, and whether the response
// belongs to it.
func (s *RequestSender) recordResponse(service *zftopology.Service, key, token string, response *http.Response) {
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		s.update(func(stats *RequestStats) { stats.Failed++ })
		return
	}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		s.recordProblem(service, key, body)
		return
	}
	s.update(func(stats *RequestStats) {
		switch {
		case response.StatusCode != http.StatusOK:
			stats.Unknown[fmt.Sprintf("status %d", response.StatusCode)]++
		case !strings.HasSuffix(string(body), " "+token):
			stats.Crossed++
		default:
			stats.Done++
			if service.AtMostOnce {
				stats.Ran = append(stats.Ran, key)
			}
		}
	})
}

func (s *RequestSender) recordProblem(service *zftopology.Service, key string, body []byte) {
	var problem struct {
		Type string `json:"type"`
		Run  string `json:"run"`
	}
	if err := json.Unmarshal(body, &problem); err != nil {
		s.update(func(stats *RequestStats) { stats.Failed++ })
		return
	}
	s.update(func(stats *RequestStats) {
		if problem.Run != "no" {
			stats.Unknown[problem.Type]++
			return
		}
		stats.Refused[problem.Type]++
		if service.AtMostOnce {
			stats.NotRun = append(stats.NotRun, key)
		}
	})
}

func (s *RequestSender) update(change func(*RequestStats)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(&s.stats)
}
