package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is how long a script may run.
const longest = 118 * time.Second

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	cases := map[string]func(record *record, trouble bool) (int, error){"1": refusals, "2": extras, "3": poisoned, "pauses": pauses, "unframed": unframedAnswers, "spot": takenAway}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-lab CASE RECORD")
		os.Exit(couldNot)
	}
	written, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNot)
	}
	go endEarly()
	code, err := cases[os.Args[1]](written, os.Getenv("TROUBLE") != "0")
	if err != nil {
		written.say("the case couldn't run: %v", err)
		os.Exit(couldNot)
	}
	os.Exit(code)
}

// endEarly ends all processes and the script if it is asked to stop or runs for too long.
func endEarly() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-asked:
	case <-time.After(longest):
		fmt.Println("the case ran for too long")
	}
	if s := started.Load(); s != nil {
		s.close()
	}
	os.Exit(couldNot)
}
