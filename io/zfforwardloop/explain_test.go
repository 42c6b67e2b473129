package zfforwardloop_test

import (
	"net/netip"
	"testing"

	zf "zinniafront"
	"zinniafront/io/zfcluster"
	"zinniafront/io/zfforwardloop"
	"zinniafront/lab/zfassert"
)

// explainer is a mapper that explains decisions.
type explainer struct {
	zf.Mapper
	zf.Explainer
}

func TestExplain(t *testing.T) {
	loop, mapper := newLoop(newManualClock(), nil)
	assertReplies := func(t testing.TB, loop *zfforwardloop.Loop, args zfcluster.ExplainArgs, want int) zfcluster.ExplainReply {
		t.Helper()
		args.Flow.Destination = netip.MustParseAddrPort("198.51.100.1:443")
		reply, err := loop.Explain(args)
		zfassert.NoError(t, err)
		zfassert.Equal(t, "explanations", len(reply.Explanations), want)
		return reply
	}
	t.Run("a mapper that explains nothing is an error", func(t *testing.T) {
		_, err := loop.Explain(zfcluster.ExplainArgs{})
		zfassert.True(t, "error", err != nil)
	})
	explained := newLoopWith(newManualClock(), nil, explainer{
		Mapper:    mapper,
		Explainer: mapper.Mapper.(zf.Explainer),
	})
	run(t, explained)
	t.Run("an instance without routes says so", func(t *testing.T) {
		explanation := assertReplies(t, explained, zfcluster.ExplainArgs{
			Centre: "one",
		}, 1).Explanations[0]
		zfassert.Equal(t, "instance", explanation.Instance, zf.InstanceName("e1"))
		zfassert.Equal(t, "reason", explanation.Attempts[0].Reason, zf.ReasonNotReady)
	})
	t.Run("another data centre has no explanation", func(t *testing.T) {
		assertReplies(t, explained, zfcluster.ExplainArgs{
			Centre: "two",
		}, 0)
	})
	t.Run("all instances of a data centre are an error", func(t *testing.T) {
		_, err := explained.Explain(zfcluster.ExplainArgs{
			All: true,
		})
		zfassert.True(t, "error", err != nil)
	})
}
