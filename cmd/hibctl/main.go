// Command hibctl is the operators' client.
package main

import (
	"fmt"
	"os"

	"github.com/hibiscuslug/hibiscuslug/internal/opcli"
)

func main() {
	code, err := opcli.Run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hibctl:", err)
	}
	os.Exit(code)
}
