package zfdocument

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// packLevel is the fastest one; a document of 1,200 routes shrinks to less
	// than a tenth by it (TestCompress).
	packLevel = flate.BestSpeed
	// mostUnpacked bounds an unpacked document; calls are bounded to half of it.
	mostUnpacked = 16 << 20
)

// ErrCorruptCompressed tells that a packed document can't be unpacked.
var ErrCorruptCompressed = errors.New("damaged packed document")

// writers holds writers that are not in use; one takes 1.2 MB.
var writers sync.Pool

// Compress makes a document small for its way to many instances.
func Compress(document []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, ok := writers.Get().(*flate.Writer)
	if !ok {
		var err error
		if writer, err = flate.NewWriter(&packed, packLevel); err != nil {
			return nil, errors.Wrap(err, "pack document")
		}
	}
	defer writers.Put(writer)
	writer.Reset(&packed)
	_, err := writer.Write(document)
	if err == nil {
		err = writer.Close()
	}
	return packed.Bytes(), errors.Wrap(err, "pack document")
}

// Decompress returns what Compress was given.
func Decompress(packed []byte) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	document, err := io.ReadAll(io.LimitReader(reader, mostUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(ErrCorruptCompressed, err.Error())
	}
	if len(document) > mostUnpacked {
		return nil, errors.Wrapf(ErrCorruptCompressed, "over %d bytes", mostUnpacked)
	}
	return document, nil
}
