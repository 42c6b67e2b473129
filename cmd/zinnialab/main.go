// Command zinnialab stands in for fabric, backend servers and callers.
package main

import (
	"os"

	"zinniafront/io/command/zfcmd"
	"zinniafront/lab/zflabcmd"
)

func main() {
	os.Exit(zflabcmd.Main(zfcmd.NewFactory(), os.Args[1:]))
}
