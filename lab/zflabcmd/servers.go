package zflabcmd

import (
	"zinniafront/io/command/zfcmd"
	"zinniafront/lab/zftopology"
)

// ServersOptions are the flags of servers.
type ServersOptions struct {
	Dir   string `name:"dir" required:"" help:"Folder of the run."`
	Spare bool   `name:"spare" help:"Print the spare backend servers, which are not started at first."`

	streams zfcmd.Streams
}

// Run runs the command.
func (o *ServersOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return serversRun(o)
}

func serversRun(o *ServersOptions) error {
	topology, err := zftopology.Read(o.Dir)
	if err != nil {
		return err
	}
	for _, server := range topology.Servers {
		if server.Spare == o.Spare {
			o.streams.Printf("%s\n", server.Name)
		}
	}
	return nil
}
