// Command hibiscuslug runs a process of the load balancer in the role given by its
// arguments.
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
