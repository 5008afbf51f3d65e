// Command stand2 plays the cases of a review: it starts entries as processes over stand-ins of the platform,
// the workers and the clients, and checks a rule by what these see.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errNotRun is the error of a case that could not run.
var errNotRun = errors.New("the case could not run")

// scenario plays a case. It returns what broke the rule, or "" if it held.
type scenario func(r *record, program string, trouble bool) (broken string, err error)

var scenarios = map[string]scenario{
	"replaced-route":   replacedRoute,
	"foreign-cancel":   foreignCancel,
	"long-checkpoints": longCheckpoints,
	"dead-rack":        deadRack,
}

func main() {
	name := flag.String("case", "", "the case to play")
	folder := flag.String("folder", ".", "the folder for record.txt")
	program := flag.String("program", "target/celeryarch", "the program of the entries")
	flag.Parse()
	os.Exit(play(*name, *folder, *program))
}

func play(name, folder, program string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := s(r, program, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("%v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		r.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	default:
		r.add("the rule held")
		fmt.Println("held")
		return exitHeld
	}
}
