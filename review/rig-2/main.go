// Command review-2 plays the scripted cases of the second review: it starts nodes of the
// product as processes, and the store, the servers and the clients beside them.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(failed)
	}
	play, ok := map[string]func(work string, trouble bool) int{"leave": playLeave, "holders": playHolders, "poison": playPoison, "drill": playDrill}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(failed)
	}
	openRecord(os.Args[2])
	work, err := os.MkdirTemp("", "review-2-")
	must(err)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		stopAll()
		os.Exit(failed)
	}()
	result := play(work, os.Getenv("TROUBLE") != "0")
	stopAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(work)
	} else {
		fmt.Println("logs of the nodes:", work)
	}
	logf("result %d", result)
	fmt.Println([]string{"the rule held", "the rule was broken", "the case couldn't run"}[result])
	os.Exit(result)
}
