package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/tinarch/tinarch/internal/lab/fleetstore"
)

// cases are the cases by name. Each returns what broke the rule, nothing if it held.
var cases = map[string]func(*site) ([]string, error){
	"leak":    leakCase,
	"memory":  memoryCase,
	"options": optionsCase,
	"parts":   partsCase,
	"pause":   pauseCase,
	"spot":    spotCase,
}

// MaxFds and MemoryMb of the small sheets.
const (
	usualDescriptors = 4100
	usualMegabytes   = 284
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	const arguments = 4
	if len(os.Args) != arguments {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE PROGRAM RECORD")
		return cannotRun
	}
	play, known := cases[os.Args[1]]
	program, err := filepath.Abs(os.Args[2])
	if !known || err != nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return cannotRun
	}
	folder, err := os.MkdirTemp("", "review-lab2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	s := &site{program: program, folder: folder, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: record, descriptors: usualDescriptors, megabytes: usualMegabytes, store: fleetstore.Start()}
	go s.endEarly()
	violations, err := play(s)
	s.close()
	for _, violation := range violations {
		s.note("BROKEN: %s", violation)
		fmt.Println("BROKEN:", violation)
	}
	s.note("trouble %v, broken %d, error %v", s.trouble, len(violations), err)
	_ = record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	case len(violations) > 0:
		return broken
	}
	fmt.Println("the rule held; trouble:", s.trouble)
	return held
}

// longest is how long a case may run.
const longest = 118 * time.Second

// endEarly ends all processes and the case if it is asked to stop or runs for too long.
func (s *site) endEarly() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-asked:
	case <-time.After(longest):
		fmt.Fprintln(os.Stderr, "the case ran for too long")
	}
	s.close()
	_ = os.RemoveAll(s.folder)
	os.Exit(cannotRun)
}
