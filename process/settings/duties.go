package settings

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The duties that one process at a time performs towards the platform.
const (
	// UsageReporting reports each team's requests by window of time.
	UsageReporting = "usage_reporting"
	// Autoscaling orders the number of replicas of services.
	Autoscaling = "autoscaling"
)

// EntryDuties holds what an entry instance reports to the leader for the fleet's duties.
type EntryDuties struct {
	// Perform lists the duties: usage_reporting and autoscaling. Default none, and then
	// nothing is reported.
	Perform []string `yaml:"perform"`
	// UsageWindow is the length of a window of usage. Required for usage_reporting.
	UsageWindow Duration `yaml:"usage_window"`
}

// Performs reports whether the duty is listed.
func (d *EntryDuties) Performs(duty string) bool { return slices.Contains(d.Perform, duty) }

func (d *EntryDuties) validate() []error {
	var all []error
	for _, duty := range d.Perform {
		if duty != UsageReporting && duty != Autoscaling {
			all = append(all, &Problem{Line: 1, Field: "duties.perform", Message: fmt.Sprintf("%q is not a duty; use %s or %s", duty, UsageReporting, Autoscaling)})
		}
	}
	if d.Performs(UsageReporting) && d.UsageWindow.Duration < time.Second {
		all = append(all, &Problem{Line: max(d.UsageWindow.Line, 1), Field: "duties.usage_window", Message: "missing or below 1s; set the length of the platform's windows, such as 5s"})
	}
	return all
}

// StateDuties holds the settings of the duties for a state process, of which the leader
// performs them.
type StateDuties struct {
	EntryDuties `yaml:",inline"`
	// Platform is the address of the platform's calls. Required if duties are listed.
	Platform Address `yaml:"platform"`
	// Holder is the name of this machine in calls. Default the name of the process.
	Holder string `yaml:"holder"`
	// CallsPerSecond is the number of calls that the platform accepts from all processes.
	// Default 10.
	CallsPerSecond float64 `yaml:"calls_per_second"`
	// Lease is how long the platform takes a holder for current after its last call; a
	// process that held the duties before another one waits that long. Default 3s.
	Lease Duration `yaml:"lease"`
	// Fenced is true if the platform refuses calls with an old fencing number. Without it,
	// a new holder waits until the lease of the last one has expired. Default false.
	Fenced bool `yaml:"fenced"`
	// UsageDelay is the time after the end of a window by which its report is due. Default
	// 10s.
	UsageDelay Duration `yaml:"usage_delay"`
	// TargetUse is the share of the replicas' capacity that the load may use; lower values
	// keep more replicas for bursts. Default 0.3.
	TargetUse float64 `yaml:"target_use"`
	// ShrinkAfter is how long the load must have been lower before replicas are removed;
	// at least the period of regular waves in traffic. Default 20s.
	ShrinkAfter Duration `yaml:"shrink_after"`
	// OrdinaryUse is the share of the replicas' capacity that the load may use before ordinary
	// replicas are ordered while no reclaimable ones are to be had. Default TargetUse.
	OrdinaryUse float64 `yaml:"ordinary_use"`
}

const (
	defaultDutyCalls   = 10
	defaultDutyLease   = 3 * time.Second
	defaultUsageDelay  = 10 * time.Second
	defaultTargetUse   = 0.3
	defaultShrinkAfter = 20 * time.Second
)

func (d *StateDuties) validate(process string) []error {
	all := d.EntryDuties.validate()
	if len(d.Perform) > 0 && d.Platform.Value == "" {
		all = append(all, &Problem{Line: 1, Field: "duties.platform", Message: "missing; set the address of the platform's calls"})
	}
	all = append(all, validateNumber("duties.target_use", d.TargetUse, 1, "must be above 0 and at most 1")...)
	all = append(all, validateNumber("duties.ordinary_use", d.OrdinaryUse, 1, "must be above 0 and at most 1")...)
	all = append(all, validateNumber("duties.calls_per_second", d.CallsPerSecond, math.MaxFloat64, "must be a number above 0")...)
	if d.Holder == "" {
		d.Holder = process
	}
	if d.CallsPerSecond == 0 {
		d.CallsPerSecond = defaultDutyCalls
	}
	if d.TargetUse == 0 {
		d.TargetUse = defaultTargetUse
	}
	d.Lease.Duration = d.Lease.Or(defaultDutyLease)
	d.UsageDelay.Duration = d.UsageDelay.Or(defaultUsageDelay)
	d.ShrinkAfter.Duration = d.ShrinkAfter.Or(defaultShrinkAfter)
	return all
}
