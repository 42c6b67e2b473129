// Command zinniafront runs and operates a layer-4 load balancer.
package main

import (
	"os"

	"zinniafront/io/command/zfcmd"
	"zinniafront/io/command/zfrootcmd"
)

func main() {
	os.Exit(zfrootcmd.Main(zfcmd.NewFactory(), os.Args[1:]))
}
