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
	// minCompressedRows is the number of backend servers from which a page is
	// compressed: some 5 KB, a hundredth of a second on the slowest links. Fewer aren't
	// worth the 1.2 MB of memory that a compressor takes.
	minCompressedRows = 64
	// pageTTL is how long a page may be sent to other entry instances, so that one page
	// serves all that start at once. The ages in it are off by up to this time.
	pageTTL = 100 * time.Millisecond
)

// ErrCorruptRows is returned if the backend servers of a reply can't be decoded.
var ErrCorruptRows = errors.New("corrupt backend servers in fetch reply")

// page is a part of the table of backend servers, as it is sent in a reply. If there
// are many backend servers, they are in rows, compressed, and not in changes.
type page struct {
	changes zfregistry.Changes
	rows    []byte
	created time.Time
}

// pageKey identifies the contents of a page for entry instances.
type pageKey struct {
	revision uint64
	cursor   uint64
	digests  uint64
	bucket   int
}

// newPage returns a page of changes and compresses its backend servers if there are
// many.
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
		return p // Send them uncompressed, which costs bytes and nothing else.
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

// decompressRows is the inverse of compressRows.
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

// hashDigests returns a hash of the digests of a table.
func hashDigests(digests []uint64) uint64 {
	buffer := make([]byte, 0, 8*len(digests))
	for _, digest := range digests {
		buffer = binary.BigEndian.AppendUint64(buffer, digest)
	}
	return xxh3.Hash(buffer)
}

// cachedPage returns the page of changed backend servers for a fetch. Pages for entry
// instances are cached for pageTTL.
func (f *Feed) cachedPage(args FetchArgs, now time.Time) page {
	if args.Control {
		return newPage(f.changes(args, now), now) // Control instances need exact ages.
	}
	key := pageKey{
		revision: f.config.Data.Revision(),
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

// changes returns the backend servers that changed since the cursor of a fetch, or
// that differ from its digests at the start of a session.
func (f *Feed) changes(args FetchArgs, now time.Time) zfregistry.Changes {
	if !f.Recognizes(args) && args.Digests != nil {
		return f.config.Data.Diff(args.Digests, args.Bucket, args.Control, now)
	}
	return f.config.Data.Since(args.Cursor, args.Control, now)
}

// expirePages removes the pages that are too old to be sent.
func (f *Feed) expirePages(now time.Time) {
	for key, p := range f.pages {
		if now.Sub(p.created) >= pageTTL {
			delete(f.pages, key)
		}
	}
}
