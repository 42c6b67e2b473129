package zfdocument

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// compressionLevel is the fastest level; it reduces a document of 1,200 routes
	// to less than a tenth of its size (TestCompress).
	compressionLevel = flate.BestSpeed
	// maxDecompressedBytes limits a decompressed document; the limit on the body of
	// a call is half of it.
	maxDecompressedBytes = 16 << 20
)

// ErrCorruptCompressed reports that a compressed document can't be decompressed.
var ErrCorruptCompressed = errors.New("damaged packed document")

// writerPool holds idle writers for reuse; each takes 1.2 MB.
var writerPool sync.Pool

// Compress compresses a document that is sent to many instances.
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

// Decompress returns the document that was passed to Compress.
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
