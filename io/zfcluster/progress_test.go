package zfcluster_test

import (
	"testing"

	"zinniafront/core/zfregistry"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

// pageReply returns a reply with a page of a table, the next one of which begins at bucket
// next, or with the last one if next is 0.
func pageReply(source, cursor uint64, next int) zfcluster.FetchReply {
	return zfcluster.FetchReply{
		Source: source,
		Changes: zfregistry.Changes{
			Cursor: cursor,
			More:   next != 0,
			Next:   next,
		},
	}
}

// TestProgress guards against changes that lie before the cursor of the last page of a table,
// for control instances that fetch from each other as well.
func TestProgress(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies []zfcluster.FetchReply
		next    zfcluster.FetchArgs
	}{
		{
			name: "no reply",
		},
		{
			name:    "a table of one page",
			replies: []zfcluster.FetchReply{pageReply(7, 40, 0)},
			next: zfcluster.FetchArgs{
				Source: 7,
				Cursor: 40,
			},
		},
		{
			name:    "the first page of several",
			replies: []zfcluster.FetchReply{pageReply(7, 40, 90)},
			next: zfcluster.FetchArgs{
				More:   true,
				Bucket: 90,
			},
		},
		{
			name:    "the last page of several",
			replies: []zfcluster.FetchReply{pageReply(7, 40, 90), pageReply(7, 45, 180), pageReply(7, 50, 0)},
			next: zfcluster.FetchArgs{
				Source: 7,
				Cursor: 40,
			},
		},
		{
			name:    "changes after the last page",
			replies: []zfcluster.FetchReply{pageReply(7, 40, 90), pageReply(7, 50, 0), pageReply(7, 60, 0)},
			next: zfcluster.FetchArgs{
				Source: 7,
				Cursor: 60,
			},
		},
		{
			name:    "a page of another process",
			replies: []zfcluster.FetchReply{pageReply(7, 40, 90), pageReply(8, 2, 120)},
		},
		{
			name:    "changes of another process",
			replies: []zfcluster.FetchReply{pageReply(7, 40, 0), pageReply(8, 2, 0)},
			next: zfcluster.FetchArgs{
				Source: 8,
				Cursor: 2,
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var progress zfcluster.Progress
			for _, reply := range c.replies {
				progress.Record(reply)
			}
			var args zfcluster.FetchArgs
			progress.Request(&args)
			zfassert.Equal(t, "next fetch", args, c.next)
			zfassert.Equal(t, "starting", progress.Starting(), c.next.Source == 0)
		})
	}
}
