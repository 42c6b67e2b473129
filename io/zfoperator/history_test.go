package zfoperator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"zinniafront/core/zfcontrol"
	"zinniafront/io/zfkey"
	"zinniafront/io/zfoperator"
	"zinniafront/lab/zfassert"
)

const versions = 4

// modelState is the sequential model of the control state that operators observe.
type modelState struct {
	digests [versions + 1]string
	rolled  [versions + 1]bool
	newest  int
	inForce int
}

type operation struct {
	accept  bool
	version int
	digest  string
}

// step applies an operation by the rules of the operators' page.
func (s modelState) step(o operation) (modelState, zfcontrol.Status) {
	digest := s.digests[o.version]
	switch {
	case o.accept && digest == o.digest:
		return s, zfcontrol.StatusAlready
	case o.accept && digest != "":
		return s, zfcontrol.StatusConflict
	case o.accept && o.version < s.newest:
		return s, zfcontrol.StatusStale
	case o.accept:
		s.digests[o.version] = o.digest
		s.newest = o.version
		return s, zfcontrol.StatusDone
	case digest == "" && o.version < s.inForce:
		return s, zfcontrol.StatusStale
	case digest == "":
		return s, zfcontrol.StatusUnknown
	case s.rolled[o.version]:
		return s, zfcontrol.StatusAlready
	case o.version < s.inForce:
		return s, zfcontrol.StatusStale
	}
	s.rolled[o.version] = true
	s.inForce = o.version
	return s, zfcontrol.StatusDone
}

var model = porcupine.Model{
	Init: func() any { return modelState{} },
	Step: func(state, input, output any) (bool, any) {
		next, want := state.(modelState).step(input.(operation))
		return want == output.(zfcontrol.Status), next
	},
}

// runHistory runs concurrent operators and returns their operations with the results.
func runHistory(t *testing.T, c *testControl, seed uint64) []porcupine.Operation {
	t.Helper()
	signed := make(map[operation][]byte)
	for version := 1; version <= versions; version++ {
		for _, variant := range []string{"1", "2"} {
			document := fmt.Sprintf(bundleText, variant, version)
			bytes, err := c.key.Sign([]byte(document))
			zfassert.NoError(t, err)
			signed[operation{
				accept:  true,
				version: version,
				digest:  zfkey.Digest([]byte(document)),
			}] = bytes
		}
	}
	choices := make([]operation, 0, 3*versions)
	for o := range signed {
		choices = append(choices, o)
	}
	for version := 1; version <= versions; version++ {
		choices = append(choices, operation{
			version: version,
		})
	}
	var mutex sync.Mutex
	var operations []porcupine.Operation
	var running sync.WaitGroup
	start := time.Now()
	for client := range 6 {
		random := rand.New(rand.NewPCG(seed, uint64(client)))
		running.Go(func() {
			for range 12 {
				o := choices[random.IntN(len(choices))]
				called := time.Since(start)
				status, err := c.execute(o, signed[o])
				returned := time.Since(start)
				if err != nil {
					t.Errorf("operation %+v: %v", o, err)
					return
				}
				mutex.Lock()
				operations = append(operations, porcupine.Operation{
					ClientId: client,
					Input:    o,
					Call:     called.Nanoseconds(),
					Output:   status,
					Return:   returned.Nanoseconds(),
				})
				mutex.Unlock()
			}
		})
	}
	running.Wait()
	return operations
}

// bundleText is a small bundle with a service name and a version to fill in.
const bundleText = `{"format": 1, "name": "race", "version": %[2]d, "centres": [{"name": "one", "region": "r"}],
"services": [{"name": "s%[1]s", "addresses": ["198.51.100.1"], "ports": [443], "protocol": "tcp", "priority": "high", "pool": {}}], "limits": {}}`

func (c *testControl) execute(o operation, signed []byte) (zfcontrol.Status, error) {
	if o.accept {
		reply, err := c.client.Accept(context.Background(), zfoperator.AcceptArgs{
			Signed: signed,
		})
		return reply.Outcome.Status, err
	}
	reply, err := c.client.Roll(context.Background(), zfoperator.RollArgs{
		Version: uint64(o.version),
	})
	return reply.Outcome.Status, err
}

// TestHistory checks that commands of concurrent operators are linearizable.
func TestHistory(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			operations := runHistory(t, newControl(t), seed)
			zfassert.True(t, "linearizable", porcupine.CheckOperations(model, operations))
		})
	}
	t.Run("the checker rejects a wrong history", func(t *testing.T) {
		o := operation{
			version: 1,
		}
		zfassert.True(t, "a roll of a version that was never accepted can't succeed", !porcupine.CheckOperations(model, []porcupine.Operation{{
			Input:  o,
			Output: zfcontrol.StatusDone,
			Return: 1,
		}}))
	})
}
