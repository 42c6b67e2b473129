package zfrestoration_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfrestoration"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

func restoration(centre zf.CentreName, age time.Duration) []zfrestoration.Restoration {
	return []zfrestoration.Restoration{{
		Centre: centre,
		Age:    age,
	}}
}

func TestTable(t *testing.T) {
	t.Run("a data centre that was out is restored", func(t *testing.T) {
		table := zfrestoration.New()
		table.SetOut([]zf.CentreName{"one", "two"}, start)
		table.SetOut([]zf.CentreName{"two"}, start)
		zfassert.Equal(t, "rows", table.Restorations(start.Add(time.Second)), restoration("one", time.Second))
	})
	t.Run("a row is removed when it is no longer recent", func(t *testing.T) {
		table := zfrestoration.New()
		table.Merge(restoration("one", time.Second), start)
		revision := table.Revision()
		table.Tick(start.Add(time.Second))
		zfassert.True(t, "recent", table.IsRecent("one"))
		table.Tick(start.Add(2 * time.Second))
		zfassert.True(t, "not recent", !table.IsRecent("one"))
		zfassert.True(t, "a new revision", table.Revision() > revision)
	})
	t.Run("reports of others don't prolong a row", func(t *testing.T) {
		table := zfrestoration.New()
		table.SetOut([]zf.CentreName{"one"}, start)
		table.SetOut(nil, start)
		table.Merge(restoration("one", 0), start.Add(time.Second))
		zfassert.Equal(t, "rows", table.Restorations(start.Add(time.Second)), restoration("one", time.Second))
	})
	t.Run("an old report adds no row", func(t *testing.T) {
		table := zfrestoration.New()
		table.Merge(restoration("one", time.Minute), start)
		zfassert.Equal(t, "rows", len(table.Restorations(start)), 0)
	})
}
