// Package zfstatuscmd holds the status command, which prints the control state.
package zfstatuscmd

import (
	"context"
	"time"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/zfoperator"
)

// statusTimeout bounds the wait for the status.
const statusTimeout = 5 * time.Second

// Options holds the flags of status.
type Options struct {
	zfcmd.ControlFlags
	JSON bool `name:"json" help:"Print the status as a JSON document."`

	streams zfcmd.Streams
	client  *zfoperator.Client
}

// Help implements kong.HelpProvider.
func (*Options) Help() string {
	return "Example:\n  zinniafront status --control 127.0.0.1:7400 --json\n\n" + zfcmd.ExitHelp
}

// Run prints the control state and the progress of each instance.
func (o *Options) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	o.client = f.Client(o.Control)
	return statusRun(o)
}

type statusDocument struct {
	Name      string             `json:"name"`
	Sequence  uint64             `json:"sequence"`
	Version   uint64             `json:"version"`
	Out       []string           `json:"out"`
	Instances []instanceDocument `json:"instances"`
}

type instanceDocument struct {
	Name     string `json:"name"`
	Centre   string `json:"centre"`
	Sequence uint64 `json:"sequence"`
	Ready    bool   `json:"ready"`
	Behind   uint64 `json:"behind"`
	Silent   string `json:"silent"`
}

func statusRun(o *Options) error {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	status, err := o.client.Status(ctx)
	if err != nil {
		return err
	}
	document := newStatusDocument(status)
	if o.JSON {
		return o.streams.PrintJSON(document)
	}
	o.streams.Printf("%s: sequence %d, version %d in force, out: %v\n", document.Name, document.Sequence, document.Version, document.Out)
	for _, instance := range document.Instances {
		o.streams.Printf("  %s\t%s\tsequence %d\tbehind %d\tready %t\tsilent %s\n",
			instance.Name, instance.Centre, instance.Sequence, instance.Behind, instance.Ready, instance.Silent)
	}
	return nil
}

func newStatusDocument(status zfoperator.Status) statusDocument {
	document := statusDocument{
		Name:      status.State.Name,
		Sequence:  status.State.Sequence,
		Version:   status.State.InForce,
		Out:       make([]string, 0, len(status.State.Out)),
		Instances: make([]instanceDocument, 0, len(status.Instances)),
	}
	for _, out := range status.State.Out {
		document.Out = append(document.Out, string(out.Centre))
	}
	for _, instance := range status.Instances {
		document.Instances = append(document.Instances, instanceDocument{
			Name:     string(instance.Instance),
			Centre:   string(instance.Centre),
			Sequence: instance.Sequence,
			Ready:    instance.Ready,
			Behind:   status.State.Sequence - min(instance.Sequence, status.State.Sequence),
			Silent:   instance.Silent.Round(time.Millisecond).String(),
		})
	}
	return document
}
