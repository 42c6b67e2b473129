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

// ledger is what the control state has to look like to every operator.
type ledger struct {
	held    [versions + 1]string
	rolled  [versions + 1]bool
	newest  int
	inForce int
}

type operation struct {
	accept  bool
	version int
	digest  string
}

// step carries an operation out by the rules of the operators' page.
func (l ledger) step(o operation) (ledger, zfcontrol.Status) {
	held := l.held[o.version]
	switch {
	case o.accept && held == o.digest:
		return l, zfcontrol.StatusAlready
	case o.accept && held != "":
		return l, zfcontrol.StatusConflict
	case o.accept && o.version < l.newest:
		return l, zfcontrol.StatusStale
	case o.accept:
		l.held[o.version] = o.digest
		l.newest = o.version
		return l, zfcontrol.StatusDone
	case held == "" && o.version < l.inForce:
		return l, zfcontrol.StatusStale
	case held == "":
		return l, zfcontrol.StatusUnknown
	case l.rolled[o.version]:
		return l, zfcontrol.StatusAlready
	case o.version < l.inForce:
		return l, zfcontrol.StatusStale
	}
	l.rolled[o.version] = true
	l.inForce = o.version
	return l, zfcontrol.StatusDone
}

var model = porcupine.Model{
	Init: func() any { return ledger{} },
	Step: func(state, input, output any) (bool, any) {
		next, want := state.(ledger).step(input.(operation))
		return want == output.(zfcontrol.Status), next
	},
}

// history lets operators race, and returns what each asked for and was told.
func history(t *testing.T, c *control, seed uint64) []porcupine.Operation {
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
				status, err := c.carryOut(o, signed[o])
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

func (c *control) carryOut(o operation, signed []byte) (zfcontrol.Status, error) {
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

// TestHistory checks that racing operators see one order of all commands.
func TestHistory(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			operations := history(t, newControl(t), seed)
			zfassert.True(t, "linearizable", porcupine.CheckOperations(model, operations))
		})
	}
	t.Run("the check can fail", func(t *testing.T) {
		o := operation{
			version: 1,
		}
		zfassert.True(t, "a roll of nothing is not done", !porcupine.CheckOperations(model, []porcupine.Operation{{
			Input:  o,
			Output: zfcontrol.StatusDone,
			Return: 1,
		}}))
	})
}
