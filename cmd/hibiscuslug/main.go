// Command hibiscuslug runs one role of the load balancer.
package main

import (
	"fmt"
	"os"

	"github.com/hibiscuslug/hibiscuslug/internal/daemon"
)

func main() {
	if err := daemon.Run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "hibiscuslug:", err)
		os.Exit(1)
	}
}
