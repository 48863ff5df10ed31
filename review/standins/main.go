// Command standins plays the cases of the review: it starts the project's processes and small
// servers as processes of their own, and sends requests as callers do.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases return whether the rule was broken. trouble is false for a run without the disruption.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"stray":    strayRefusal,
	"grey":     greyRefusal,
	"leave":    leavingPayers,
	"unframed": unframedStream,
	"oversize": oversizePrompts,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		var o serverOptions
		flags := flag.NewFlagSet("server", flag.ExitOnError)
		o.flags(flags)
		_ = flags.Parse(os.Args[2:]) // exits on errors
		fmt.Println(serve(o))
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1:]))
}

// play plays a case: NAME RECORD.
func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Println("usage: standins CASE RECORD")
		return exitNotRun
	}
	f, err := newFleet(args[1])
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		f.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[args[0]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
