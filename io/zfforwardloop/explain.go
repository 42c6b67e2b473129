package zfforwardloop

import (
	"time"

	"github.com/pkg/errors"

	zf "zinniafront"
	"zinniafront/io/zfcluster"
)

// errNoExplanation is returned if the mapper can't explain its decisions.
var errNoExplanation = errors.New("this mapper explains no decisions")

// Explain implements zfcluster.Handler. It runs outside the control goroutine, as
// decisions on packets do.
func (l *Loop) Explain(args zfcluster.ExplainArgs) (zfcluster.ExplainReply, error) {
	explainer, ok := l.Mapper().(zf.Explainer)
	if !ok {
		return zfcluster.ExplainReply{}, errNoExplanation
	}
	now := l.config.Clock.Now()
	explanation := explainer.Explain(args.Flow, now)
	l.do(func(time.Time) {
		state := l.config.World.State()
		explanation.Instance = l.config.World.Self()
		explanation.Centre = l.config.World.Centre()
		explanation.Ready = l.config.World.Ready()
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
