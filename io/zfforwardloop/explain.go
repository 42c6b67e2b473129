package zfforwardloop

import (
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfcluster"
)

var (
	// errNoExplanation is returned if the mapper can't explain its decisions.
	errNoExplanation = errors.New("this mapper explains no decisions")
	// errOneInstance is returned if all instances of a data centre are asked for.
	errOneInstance = errors.New("an entry instance explains its own decisions only: ask a control instance for all")
)

// Explain implements zfcluster.Handler. It runs outside the control goroutine, as
// decisions on packets do. The reply is empty if another data centre is asked for.
func (l *Loop) Explain(args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	explainer, ok := l.Mapper().(zf.Explainer)
	if !ok {
		return zfcluster.ExplainReply{}, errNoExplanation
	}
	switch {
	case args.All:
		return zfcluster.ExplainReply{}, errOneInstance
	case args.Centre != "" && args.Centre != l.config.World.Centre():
		return zfcluster.ExplainReply{}, nil
	}
	now := l.config.Clock.Now()
	explanation := explainer.Explain(args.Flow, now)
	l.do(func(time.Time) {
		state := l.config.World.State()
		explanation.Instance = l.config.World.Self()
		explanation.Centre = l.config.World.Centre()
		explanation.Ready = l.config.World.Ready()
		explanation.Shed = l.config.World.ShedShare()
		explanation.Index = state.Index
		if state.Bundle != nil {
			explanation.Version = state.Bundle.Version
		}
	})
	_, explanation.Age = l.StateAge(now)
	return zfcluster.ExplainReply{
		Explanations: []zf.Explanation{explanation},
	}, nil
}
