package main

import (
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func main() {
	cases := map[string]func(record *record, trouble bool) (int, error){"1": refusals, "2": extras, "3": poisoned, "pauses": pauses}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-lab CASE RECORD")
		os.Exit(couldNot)
	}
	written, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNot)
	}
	code, err := cases[os.Args[1]](written, os.Getenv("TROUBLE") != "0")
	if err != nil {
		written.say("the case couldn't run: %v", err)
		os.Exit(couldNot)
	}
	os.Exit(code)
}
