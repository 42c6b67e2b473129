package zfoperator_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"zinniafront/core/zfcontrol"
	"zinniafront/io/zfclock"
	"zinniafront/io/zfevent"
	"zinniafront/io/zfkey"
	"zinniafront/io/zfoperator"
	"zinniafront/lab/zfassert"
)

// memoryStore is a store in memory that can fail.
type memoryStore struct {
	document []byte
	fail     error
}

func (m *memoryStore) Load() ([]byte, error) { return m.document, nil }

func (m *memoryStore) Save(document []byte) error {
	if m.fail == nil {
		m.document = document
	}
	return m.fail
}

// testControl is a control instance with a client and a trusted signing key.
type testControl struct {
	client *zfoperator.Client
	server *zfoperator.Server
	store  *memoryStore
	key    *zfkey.SigningKey
	config zfoperator.ServerConfig
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	zfassert.NoError(t, err)
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newControl(t *testing.T) *testControl {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ops.key")
	_, err := zfkey.GenerateSigningKey(path)
	zfassert.NoError(t, err)
	key, err := zfkey.ReadSigningKey(path)
	zfassert.NoError(t, err)
	trusted, err := zfkey.ReadTrustedKeys([]string{path + ".pub"})
	zfassert.NoError(t, err)
	c := &testControl{
		store: &memoryStore{},
		key:   key,
	}
	c.config = zfoperator.ServerConfig{
		Address:  freeAddress(t),
		Store:    c.store,
		Verifier: trusted,
		Clock:    zfclock.System{},
		Logger: zfevent.New(zfevent.Config{
			Output: io.Discard,
			Level:  "error",
		}),
	}
	c.start(t)
	return c
}

func (c *testControl) start(t *testing.T) {
	t.Helper()
	server, err := zfoperator.Listen(c.config)
	zfassert.NoError(t, err)
	c.server = server
	go server.Run()
	t.Cleanup(func() { _ = server.Close() })
	c.client = zfoperator.NewClient([]netip.AddrPort{c.config.Address})
}

// signed returns the example bundle with another version, signed.
func (c *testControl) signed(t *testing.T, version string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "examples", "collarcraft.json"))
	zfassert.NoError(t, err)
	changed := strings.Replace(string(text), `"version": 1`, `"version": `+version, 1)
	signed, err := c.key.Sign([]byte(changed))
	zfassert.NoError(t, err)
	return signed
}

func (c *testControl) accept(t *testing.T, version string) zfcontrol.Outcome {
	t.Helper()
	reply, err := c.client.Accept(context.Background(), zfoperator.AcceptArgs{
		Signed: c.signed(t, version),
	})
	zfassert.NoError(t, err)
	return reply.Outcome
}

func (c *testControl) roll(t *testing.T, version uint64) zfcontrol.Outcome {
	t.Helper()
	reply, err := c.client.Roll(context.Background(), zfoperator.RollArgs{
		Version: version,
	})
	zfassert.NoError(t, err)
	return reply.Outcome
}

func (c *testControl) setCentre(t *testing.T, out bool, asOf uint64) zfcontrol.Outcome {
	t.Helper()
	reply, err := c.client.Centre(context.Background(), zfoperator.CentreArgs{
		Centre: "arima",
		Out:    out,
		AsOf:   asOf,
	})
	zfassert.NoError(t, err)
	return reply.Outcome
}

func assertStatus(t *testing.T, outcome zfcontrol.Outcome, want zfcontrol.Status) {
	t.Helper()
	zfassert.Equal(t, "status", outcome.Status.String(), want.String())
}

func TestControl(t *testing.T) {
	t.Run("accepted, rolled and fetched", func(t *testing.T) {
		c := newControl(t)
		assertStatus(t, c.accept(t, "1"), zfcontrol.StatusDone)
		assertStatus(t, c.roll(t, 1), zfcontrol.StatusDone)
		reply, err := c.client.Fetch(context.Background(), zfoperator.FetchArgs{
			Instance: "e",
		})
		zfassert.NoError(t, err)
		zfassert.Equal(t, "sequence", reply.Sequence, uint64(2))
		zfassert.True(t, "signed", len(reply.Signed) > 0)
	})
	t.Run("a fetch waits for a later state", func(t *testing.T) {
		c := newControl(t)
		c.accept(t, "1")
		fetched := make(chan zfoperator.FetchReply, 1)
		go func() {
			reply, _ := c.client.Fetch(context.Background(), zfoperator.FetchArgs{
				Instance: "e",
				Sequence: 1,
				Wait:     20 * time.Second,
			})
			fetched <- reply
		}()
		c.roll(t, 1)
		zfassert.Equal(t, "sequence", (<-fetched).Sequence, uint64(2))
	})
	t.Run("state survives a restart", func(t *testing.T) {
		c := newControl(t)
		c.accept(t, "1")
		c.roll(t, 1)
		zfassert.NoError(t, c.server.Close())
		c.start(t)
		status, err := c.client.Status(context.Background())
		zfassert.NoError(t, err)
		zfassert.Equal(t, "version", status.State.InForce, uint64(1))
		assertStatus(t, c.accept(t, "1"), zfcontrol.StatusAlready)
	})
	t.Run("a repeated command is logged as carried out", func(t *testing.T) {
		c := newControl(t)
		var log syncBuffer
		zfassert.NoError(t, c.server.Close())
		c.config.Logger = zfevent.New(zfevent.Config{
			Output: &log,
			Level:  "info",
		})
		c.start(t)
		c.accept(t, "1")
		c.accept(t, "1")
		zfassert.Contains(t, log.String(), `"status":"already"`)
		zfassert.True(t, "not logged as refused", !strings.Contains(log.String(), "command refused"))
	})
	t.Run("a bundle whose key was withdrawn is not in force after a restart", func(t *testing.T) {
		c := newControl(t)
		c.accept(t, "1")
		c.roll(t, 1)
		zfassert.NoError(t, c.server.Close())
		path := filepath.Join(t.TempDir(), "new.key")
		_, err := zfkey.GenerateSigningKey(path)
		zfassert.NoError(t, err)
		c.config.Verifier, err = zfkey.ReadTrustedKeys([]string{path + ".pub"})
		zfassert.NoError(t, err)
		_, err = zfoperator.Listen(c.config)
		zfassert.Contains(t, err.Error(), "no trusted key")
	})
	t.Run("an unsigned bundle is refused", func(t *testing.T) {
		c := newControl(t)
		_, err := c.client.Accept(context.Background(), zfoperator.AcceptArgs{
			Signed: []byte("x"),
		})
		zfassert.Contains(t, err.Error(), "nothing was accepted")
	})
	t.Run("a command whose state can't be saved has no effect", func(t *testing.T) {
		c := newControl(t)
		c.store.fail = errors.New("disk is full")
		_, err := c.client.Accept(context.Background(), zfoperator.AcceptArgs{
			Signed: c.signed(t, "1"),
		})
		zfassert.Contains(t, err.Error(), "nothing was accepted")
		c.store.fail = nil
		assertStatus(t, c.accept(t, "1"), zfcontrol.StatusDone)
	})
	t.Run("no control instance listens", func(t *testing.T) {
		client := zfoperator.NewClient([]netip.AddrPort{freeAddress(t)})
		_, err := client.Status(context.Background())
		zfassert.ErrorIs(t, err, zfoperator.ErrUnreachable)
	})
}

// TestCentre guards against a delayed command that undoes a later one.
func TestCentre(t *testing.T) {
	c := newControl(t)
	c.accept(t, "1")
	rolled := c.roll(t, 1)
	t.Run("a client confirms its command", func(t *testing.T) {
		assertStatus(t, c.setCentre(t, true, 0), zfcontrol.StatusDone)
		assertStatus(t, c.setCentre(t, false, 0), zfcontrol.StatusDone)
	})
	t.Run("a command that was confirmed before a later one changes nothing", func(t *testing.T) {
		assertStatus(t, c.setCentre(t, true, rolled.Sequence), zfcontrol.StatusUnconfirmed)
		reply, err := c.client.Fetch(context.Background(), zfoperator.FetchArgs{
			Instance: "e",
		})
		zfassert.NoError(t, err)
		zfassert.Equal(t, "out", len(reply.Out), 0)
	})
}

// TestRepeatedCentre guards against a restart after which a delayed command undoes a later one
// that succeeded without a change.
func TestRepeatedCentre(t *testing.T) {
	c := newControl(t)
	c.accept(t, "1")
	delayed := c.roll(t, 1).Sequence
	assertStatus(t, c.setCentre(t, false, 0), zfcontrol.StatusAlready)
	zfassert.NoError(t, c.server.Close())
	c.start(t)
	assertStatus(t, c.setCentre(t, true, delayed), zfcontrol.StatusUnconfirmed)
}

// syncBuffer is a buffer for the log of a server, which has its own goroutine.
type syncBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

func (b *syncBuffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.Write(line)
}

func (b *syncBuffer) String() string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.buffer.String()
}
