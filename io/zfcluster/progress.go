package zfcluster

// Progress records how much of another instance's table of backend servers has been
// received in a session: the pages of the whole table by digests first, then the changes
// since. The zero value starts a session.
type Progress struct {
	// source and cursor are those of the last reply. They stay 0 until the whole table
	// has been received once.
	source uint64
	cursor uint64
	// more is set if the last reply didn't have all changes. bucket is where the next
	// page of the whole table begins.
	more   bool
	bucket int
	// firstSource and firstCursor are those of the first page of the whole table.
	firstSource uint64
	firstCursor uint64
}

// Starting reports whether the whole table has not been received yet.
func (p *Progress) Starting() bool { return p.source == 0 }

// Request sets the fields of a fetch that request what comes next.
func (p *Progress) Request(args *FetchArgs) {
	args.Source = p.source
	args.Cursor = p.cursor
	args.More = p.more
	args.Bucket = p.bucket
}

// Record records a reply. The changes since the first page are fetched after the last one:
// a backend server on an earlier page may have changed before a later page was made. If
// another process replies, its table is fetched from the start, as only the earlier process
// sent the pages so far.
func (p *Progress) Record(reply FetchReply) {
	if !p.Starting() {
		p.source = reply.Source
		p.cursor = reply.Changes.Cursor
		p.more = reply.Changes.More
		return
	}
	if p.firstSource == 0 {
		p.firstSource = reply.Source
		p.firstCursor = reply.Changes.Cursor
	}
	if p.firstSource != reply.Source {
		*p = Progress{}
		return
	}
	p.more = reply.Changes.More
	p.bucket = reply.Changes.Next
	if !p.more {
		p.source = p.firstSource
		p.cursor = p.firstCursor
	}
}
