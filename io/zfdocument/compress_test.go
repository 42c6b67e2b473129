package zfdocument_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"zinniafront/io/zfdocument"
	"zinniafront/lab/zfassert"
)

// configurationDocument returns a document of generated routes, each with its own
// name and timeout.
func configurationDocument(count int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	lines := make([]string, 0, count)
	for i := range count {
		lines = append(lines, fmt.Sprintf(`{"Name":"r-%07x","Host":"198.18.%d.%d","PathPrefix":"/8443/",`+
			`"Kind":"idempotent","TimeoutMs":%d,"TargetLatencyMs":100,"Priority":2,"Service":"huvo11a","MaxAttempts":2}`,
			random.IntN(1<<28), i/250, i%250, 1000+random.IntN(500)))
	}
	return []byte(`{"Version":7,"Routes":[` + strings.Join(lines, ",") + `]}`)
}

func TestCompress(t *testing.T) {
	document := configurationDocument(1200)
	compressed, err := zfdocument.Compress(document)
	zfassert.NoError(t, err)
	t.Logf("%d bytes, %d bytes compressed", len(document), len(compressed))
	t.Run("the compressed size is less than a tenth", func(t *testing.T) {
		zfassert.AtMost(t, "compression ratio", float64(len(compressed))/float64(len(document)), 0.1)
	})
	t.Run("decompression restores the document", func(t *testing.T) {
		decompressed, err := zfdocument.Decompress(compressed)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "document", string(decompressed), string(document))
	})
	t.Run("truncated data is refused", func(t *testing.T) {
		_, err := zfdocument.Decompress(compressed[:len(compressed)/2])
		zfassert.ErrorIs(t, err, zfdocument.ErrCorruptCompressed)
	})
	t.Run("a document over the size limit is refused", func(t *testing.T) {
		large, err := zfdocument.Compress(make([]byte, 17<<20))
		zfassert.NoError(t, err)
		_, err = zfdocument.Decompress(large)
		zfassert.ErrorIs(t, err, zfdocument.ErrCorruptCompressed)
	})
}
