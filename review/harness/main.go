// The harness plays the scripts of the review: it starts the project's programs and stand-ins on
// loopback addresses and judges what requesters, replicas and the platform have seen.
//
// Usage: harness CASE ROOT FOLDER. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// cases maps names to cases; each returns true if the rule was broken.
var cases = map[string]func(c *setting) bool{}

// setting is what a case gets.
type setting struct {
	root, dir string
	trouble   bool
	rec       *recordFile
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE ROOT FOLDER")
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("kept:", dir)
	}
	rec, err := openRecord(os.Args[3] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(couldNotRun); !ok {
				panic(r)
			}
			code = 2
		}
	}()
	c := &setting{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	if cases[os.Args[1]](c) {
		return 1
	}
	return 0
}

// say prints a line and notes it in the record.
func (c *setting) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	c.rec.note(format, args...)
}
