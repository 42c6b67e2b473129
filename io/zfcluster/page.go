package zfcluster

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"time"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"

	"zinniafront/core/zfregistry"
	"zinniafront/io/zfdocument"
)

const (
	// minCompressedRows is the number of backend servers from which on they travel packed:
	// some 5 KB, a hundredth of a second on the slowest links. Fewer don't make up for
	// the 1.2 MB that a packer takes.
	minCompressedRows = 64
	// pageTTL is how long a page may be told to other entry instances, so that one is
	// made for all that start at once. The times that it tells are off by that much.
	pageTTL = 100 * time.Millisecond
)

// ErrCorruptRows tells that backend servers can't be unpacked.
var ErrCorruptRows = errors.New("damaged backend servers")

// page is what a feed tells of backend servers. Many are packed into rows.
type page struct {
	changes zfregistry.Changes
	rows    []byte
	created time.Time
}

// pageKey is what a page for entry instances depends on.
type pageKey struct {
	revision uint64
	cursor   uint64
	digests  uint64
	bucket   int
}

// newPage packs the backend servers of changes where they are many.
func newPage(changes zfregistry.Changes, now time.Time) page {
	p := page{
		changes: changes,
		created: now,
	}
	if len(changes.Updates) < minCompressedRows {
		return p
	}
	rows, err := compressRows(changes.Updates)
	if err != nil {
		return p // They travel as they are, which costs bytes and nothing else.
	}
	p.rows = rows
	p.changes.Updates = nil
	return p
}

func compressRows(updates []zfregistry.Update) ([]byte, error) {
	var document bytes.Buffer
	if err := gob.NewEncoder(&document).Encode(updates); err != nil {
		return nil, errors.Wrap(err, "encode backend servers")
	}
	return zfdocument.Compress(document.Bytes())
}

// decompressRows returns what packRows was given.
func decompressRows(rows []byte) ([]zfregistry.Update, error) {
	document, err := zfdocument.Decompress(rows)
	if err != nil {
		return nil, errors.Wrap(ErrCorruptRows, err.Error())
	}
	var updates []zfregistry.Update
	if err := gob.NewDecoder(bytes.NewReader(document)).Decode(&updates); err != nil {
		return nil, errors.Wrap(ErrCorruptRows, err.Error())
	}
	return updates, nil
}

// hashDigests identifies the digests of a table.
func hashDigests(digests []uint64) uint64 {
	buffer := make([]byte, 0, 8*len(digests))
	for _, digest := range digests {
		buffer = binary.BigEndian.AppendUint64(buffer, digest)
	}
	return xxh3.Hash(buffer)
}

// page returns the backend servers that are news for a fetch.
func (f *Feed) page(args FetchArgs, now time.Time) page {
	if args.Control {
		return newPage(f.changes(args, now), now) // Its times matter there.
	}
	key := pageKey{
		revision: f.config.Source.Revision(),
		cursor:   args.Cursor,
		bucket:   args.Bucket,
	}
	if !f.Recognizes(args) {
		key.digests = hashDigests(args.Digests)
	}
	p, ok := f.pages[key]
	if !ok {
		p = newPage(f.changes(args, now), now)
		f.pages[key] = p
	}
	return p
}

// changes gathers the backend servers that are news for a fetch.
func (f *Feed) changes(args FetchArgs, now time.Time) zfregistry.Changes {
	if !f.Recognizes(args) && args.Digests != nil {
		return f.config.Source.Diff(args.Digests, args.Bucket, args.Control, now)
	}
	return f.config.Source.Since(args.Cursor, args.Control, now)
}

// expirePages forgets the pages that are too old to be told.
func (f *Feed) expirePages(now time.Time) {
	for key, p := range f.pages {
		if now.Sub(p.created) >= pageTTL {
			delete(f.pages, key)
		}
	}
}
