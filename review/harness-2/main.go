// Command lilacbridge-review-2 plays the scripts of the second review: it starts the project's own
// programs as separate processes beside small stand-ins, and judges what these have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one case. It returns whether the rule was broken.
type play func(f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"first-start":      firstStart,
	"second-disk-loss": secondDiskLoss,
	"hang-up-at-start": hangUpAtStart,
	"wrong-bytes":      wrongBytesCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lilacbridge-review-2 CASE FOLDER, in the root of the repository")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(newRecord(file))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	f.record.line("case %s, trouble %v", os.Args[1], trouble)
	broken, err := plays[os.Args[1]](f, trouble)
	switch {
	case err != nil:
		f.record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		f.record.line("verdict: the rule was broken")
		return exitBroken
	}
	f.record.line("verdict: the rule held")
	return exitHeld
}
