package zfdocument

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// compressionLevel is the fastest one; a document of 1,200 routes shrinks to less
	// than a tenth by it (TestCompress).
	compressionLevel = flate.BestSpeed
	// maxDecompressedBytes bounds an unpacked document; calls are bounded to half of it.
	maxDecompressedBytes = 16 << 20
)

// ErrCorruptCompressed tells that a packed document can't be unpacked.
var ErrCorruptCompressed = errors.New("damaged packed document")

// writerPool holds writers that are not in use; one takes 1.2 MB.
var writerPool sync.Pool

// Compress makes a document small for its way to many instances.
func Compress(document []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, ok := writerPool.Get().(*flate.Writer)
	if !ok {
		var err error
		if writer, err = flate.NewWriter(&compressed, compressionLevel); err != nil {
			return nil, errors.Wrap(err, "pack document")
		}
	}
	defer writerPool.Put(writer)
	writer.Reset(&compressed)
	_, err := writer.Write(document)
	if err == nil {
		err = writer.Close()
	}
	return compressed.Bytes(), errors.Wrap(err, "pack document")
}

// Decompress returns what Compress was given.
func Decompress(compressed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	document, err := io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrCorruptCompressed, err.Error())
	}
	if len(document) > maxDecompressedBytes {
		return nil, errors.Wrapf(ErrCorruptCompressed, "over %d bytes", maxDecompressedBytes)
	}
	return document, nil
}
