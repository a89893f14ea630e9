package bench

import (
	"fmt"
	"runtime"
	"sync"

	"github.com/lilacbridge/lilacbridge/request/policy"
)

// Request says what to run; an empty field means all of its kind.
type Request struct {
	Fleet, Scenario, Policy string
	Seed                    uint64
	// Workers is how many runs go on at once; 0 means three.
	Workers int
}

// namedPolicy is a policy under test.
type namedPolicy struct {
	name string
	make policyFactory
}

// Product is the name of our own policy in the table.
const Product = "lilacbridge"

// boundName is the relaxed schedule's name in the table.
const boundName = "upper-bound"

var policies = []namedPolicy{
	{Product, policy.New},
	{"random", newBaseline(pickRandom, false)},
	{"round-robin", newBaseline(pickRoundRobin, false)},
	{"least-in-flight", newBaseline(pickLeast, false)},
	{"strict-priority", newBaseline(pickLeast, true)},
}

const defaultWorkers = 3

// Run plays the runs that the request names and returns results in a fixed order.
func Run(q Request) ([]*Result, error) {
	var tasks []func() *Result
	for i := range fleets {
		f := &fleets[i]
		for j := range scenarios {
			s := &scenarios[j]
			if wanted(q.Fleet, f.name) && wanted(q.Scenario, s.name) {
				tasks = append(tasks, tasksOf(f, s, q)...)
			}
		}
	}
	if len(tasks) == 0 {
		return nil, fmt.Errorf("nothing to run for fleet %q, scenario %q, policy %q; leave one empty for all", q.Fleet, q.Scenario, q.Policy)
	}
	return perform(tasks, q.Workers), nil
}

func wanted(asked, name string) bool { return asked == "" || asked == name }

func tasksOf(f *fleet, s *scenario, q Request) []func() *Result {
	var tasks []func() *Result
	for _, p := range policies {
		if wanted(q.Policy, p.name) {
			tasks = append(tasks, func() *Result {
				w := newWorld(f, s, q.Seed, p.make)
				w.run(generate(f, s, q.Seed))
				return w.result(p.name)
			})
		}
	}
	if wanted(q.Policy, boundName) {
		tasks = append(tasks, func() *Result { return boundResult(f, s, q.Seed) })
	}
	return tasks
}

func boundResult(f *fleet, s *scenario, seed uint64) *Result {
	out := &Result{Fleet: f.name, Scenario: s.name, Policy: boundName, Length: s.length}
	rows := bound(f, generate(f, s, seed))
	for i := range f.classes {
		r := rows[f.classes[i].name]
		out.rows = append(out.rows, r)
		out.GoodTokens += r.good
	}
	return out
}

// perform runs the tasks on a few workers; results keep the tasks' order.
func perform(tasks []func() *Result, workers int) []*Result {
	if workers <= 0 {
		workers = min(defaultWorkers, runtime.GOMAXPROCS(0))
	}
	results := make([]*Result, len(tasks))
	indexes := make(chan int)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := range indexes {
				results[i] = tasks[i]()
			}
		})
	}
	for i := range tasks {
		indexes <- i
	}
	close(indexes)
	group.Wait()
	return results
}
