// Command standin plays the platform, upstreams and clients for the cases of the review,
// and starts the project's nodes as separate processes.
//
//	standin CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// verdict is the result of a case.
type verdict int

const (
	held verdict = iota
	broken
	notRun
)

var cases = map[string]func(f *fleet, trouble bool) verdict{}

func main() {
	os.Exit(int(play()))
}

// play starts a deployment and runs a case on it.
func (f *fleet) play(name string, trouble bool) verdict {
	if err := f.startMachines(3, name == staleHolderCase); err != nil {
		f.record.say("the case could not run: %v", err)
		return notRun
	}
	f.record.say("the deployment serves")
	return cases[name](f, trouble)
}

func play() verdict {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return notRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	f, err := newFleet(r)
	defer f.close()
	if err != nil {
		r.say("the case could not run: %v", err)
		return notRun
	}
	result := make(chan verdict, 1)
	go func() { result <- f.play(os.Args[1], os.Getenv("TROUBLE") != "0") }()
	select {
	case v := <-result:
		return v
	case <-stopped:
		r.say("the case could not run: it was stopped")
		return notRun
	}
}
