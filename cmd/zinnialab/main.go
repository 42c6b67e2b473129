// Command zinnialab simulates the fabric, backend servers and callers around zinniafront.
package main

import (
	"os"

	"zinniafront/io/command/zfcmd"
	"zinniafront/lab/zflabcmd"
)

func main() {
	os.Exit(zflabcmd.Main(zfcmd.NewFactory(), os.Args[1:]))
}
