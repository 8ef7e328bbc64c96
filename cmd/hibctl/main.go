// Command hibctl is the command-line client for operators.
package main

import (
	"fmt"
	"os"

	"github.com/hibiscuslug/hibiscuslug/internal/opcli"
)

func main() {
	code, err := opcli.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hibctl:", err)
	}
	os.Exit(code)
}
