package zfevent_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"zinniafront/io/zfevent"
	"zinniafront/lab/zfassert"
)

func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	zfassert.NoError(t, err)
	seen := make(map[int]bool)
	for _, event := range zfevent.Events() {
		t.Run(event.Name, func(t *testing.T) {
			zfassert.True(t, "number is used once", !seen[event.Number])
			seen[event.Number] = true
			zfassert.Contains(t, string(page), fmt.Sprintf("| %d | %s | %s |", event.Number, event.Name, event.Level))
		})
	}
	t.Run("the page names no other event", func(t *testing.T) {
		rows := 0
		for _, line := range strings.Split(string(page), "\n") {
			if strings.HasPrefix(line, "| ") && line[2] >= '0' && line[2] <= '9' {
				rows++
			}
		}
		zfassert.Equal(t, "rows", rows, len(zfevent.Events()))
	})
}

func TestLogger(t *testing.T) {
	var out bytes.Buffer
	logger := zfevent.New(zfevent.Config{
		Output:   &out,
		Level:    "info",
		Instance: "e1",
	})
	logger.Entry(zfevent.RequestRefused).Msg("")
	zfassert.Equal(t, "below the level", out.Len(), 0)
	logger.Entry(zfevent.ProcessStarted).Str("centre", "one").Msg("")
	for _, part := range []string{`"event":1001`, `"name":"process started"`, `"instance":"e1"`, `"centre":"one"`} {
		zfassert.Contains(t, out.String(), part)
	}
}

// blockedWriter is an output that takes nothing until it is released.
type blockedWriter struct{ released chan struct{} }

// Write implements io.Writer.
func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.released
	return len(line), nil
}

func TestBlockedWriter(t *testing.T) {
	writer := blockedWriter{
		released: make(chan struct{}),
	}
	logger := zfevent.New(zfevent.Config{
		Output: writer,
		Level:  "info",
		Queue:  16,
	})
	logged := make(chan struct{})
	go func() {
		for range 1000 {
			logger.Entry(zfevent.FlowOpened).Msg("")
		}
		close(logged)
	}()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		t.Error("logging waits for a log writer that blocks")
	}
	close(writer.released)
	<-logged
	logger.Close()
}
