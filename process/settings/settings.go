// Package settings reads the YAML settings of every lilacbridge process.
//
// Reading is strict: an unknown field, a duration without a unit or an address that is
// not an IP address is an error that names the file, the line and the remedy. A process
// that can't read its settings exits with ExitCode.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// ExitCode is the exit status of a process with invalid settings.
const ExitCode = 2

// Problem is an error in a settings file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

// Error returns "file:line: field: message".
func (p *Problem) Error() string {
	field := p.Field
	if field != "" {
		field += ": "
	}
	return fmt.Sprintf("%s:%d: %s%s", p.File, p.Line, field, p.Message)
}

// Validator checks settings beyond what their types do. Validate returns joined *Problem
// values; their File is set by Parse.
type Validator interface{ Validate() error }

// Load decodes file into target and validates it.
func Load(file string, target Validator) error {
	data, err := Read(file)
	if err != nil {
		return err
	}
	return Parse(file, data, target)
}

// Read returns the content of a settings file.
func Read(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "can't read the settings file; set its name with --settings")
	}
	return data, nil
}

// Parse is like Load for data that has been read; file is only used in errors.
func Parse(file string, data []byte, target Validator) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	err := decoder.Decode(target)
	if errors.Is(err, io.EOF) {
		return &Problem{File: file, Line: 1, Message: "the file is empty; start with a file from examples/"}
	}
	if err != nil {
		return withFile(file, err)
	}
	return withFile(file, target.Validate())
}

// withFile converts the errors in err to *Problem values with File set to file.
func withFile(file string, err error) error {
	if err == nil {
		return nil
	}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		var all []error
		for _, text := range typeError.Errors {
			all = append(all, yamlProblem(file, text))
		}
		return errors.Join(all...)
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []error
		for _, one := range joined.Unwrap() {
			all = append(all, withFile(file, one))
		}
		return errors.Join(all...)
	}
	var problem *Problem
	if errors.As(err, &problem) {
		problem.File = file
		return problem
	}
	return yamlProblem(file, err.Error())
}

// yamlProblem extracts the line from a message of the YAML library, "line 3: …".
func yamlProblem(file, text string) *Problem {
	text = strings.TrimPrefix(text, "yaml: ")
	line := 0
	if _, err := fmt.Sscanf(text, "line %d:", &line); err == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	if strings.Contains(text, "not found in type") {
		text += "; remove it, or see docs/OPERATING.md for the fields"
	}
	return &Problem{File: file, Line: line, Message: text}
}

// Duration is a duration with a unit, such as 500ms or 2s. Line is 0 if the field is
// absent.
type Duration struct {
	time.Duration
	Line int
}

// UnmarshalYAML rejects numbers without a unit and negative durations.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil || parsed < 0 {
		return &Problem{Line: node.Line, Message: fmt.Sprintf("%q is not a duration; use a number with a unit, such as 500ms or 2s", node.Value)}
	}
	d.Duration, d.Line = parsed, node.Line
	return nil
}

// Or returns the duration, or byDefault if the field is absent.
func (d Duration) Or(byDefault time.Duration) time.Duration {
	if d.Line == 0 {
		return byDefault
	}
	return d.Duration
}

// Address is an IP address with a port.
type Address struct {
	Value string
	Line  int
}

// UnmarshalYAML rejects host names: instances are reached by IP address.
func (a *Address) UnmarshalYAML(node *yaml.Node) error {
	if _, err := netip.ParseAddrPort(node.Value); err != nil {
		return &Problem{Line: node.Line, Message: fmt.Sprintf("%q is not an IP address with a port; use one such as 10.1.0.4:7100", node.Value)}
	}
	a.Value, a.Line = node.Value, node.Line
	return nil
}

func (a Address) String() string { return a.Value }

// Peer is another lilacbridge process.
type Peer struct {
	// Name is the name in that process's own settings.
	Name string `yaml:"name"`
	// Address is the address of its link listener.
	Address Address `yaml:"address"`
	// DataCenter is the data centre of the process.
	DataCenter string `yaml:"data_center"`
}

// Common holds the settings that every daemon has.
type Common struct {
	// Name is the name of the process, unique in the fleet. No default.
	Name string `yaml:"name"`
	// DataCenter is the data centre of the process. No default.
	DataCenter string `yaml:"data_center"`
	// Link is the listen address for other lilacbridge processes. No default.
	Link Address `yaml:"link"`
	// Advertise is the address at which other processes reach Link if it differs, for
	// example behind address translation. Default Link; the port must be the same.
	Advertise Address `yaml:"advertise"`
	// Admin is the listen address of /metrics, /healthz, /readyz and pprof. No default.
	Admin Address `yaml:"admin"`
	// LinkKeyFile is a file with the key that all processes share. No default; LinkKey
	// may be set instead.
	LinkKeyFile string `yaml:"link_key_file"`
	// LinkKey is the key itself, for platforms that can't keep a file private. It then
	// only separates unrelated processes, for example after addresses are reused.
	LinkKey string `yaml:"link_key"`
	// Seeds are addresses of the state processes' machines. Their link listeners have the
	// same port as that of this process. Default none.
	Seeds []Address `yaml:"seeds"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `yaml:"log_level"`
	// GCPercent is the growth of the heap, in percent of the live heap, that triggers a
	// garbage collection. Lower values use less memory and more CPU time. Default 100, as
	// in the Go runtime.
	GCPercent int `yaml:"gc_percent"`
}

// AdvertisedLink returns the address at which other processes reach this one.
func (c *Common) AdvertisedLink() Address {
	if c.Advertise.Value != "" {
		return c.Advertise
	}
	return c.Link
}

// Shared returns c, the settings that all kinds of daemons have.
func (c *Common) Shared() *Common { return c }

func (c *Common) validateCommon() []error {
	var all []error
	required := func(value, field string) {
		if value == "" {
			all = append(all, &Problem{Line: 1, Field: field, Message: "missing; add it, see docs/OPERATING.md"})
		}
	}
	required(c.Name, "name")
	required(c.DataCenter, "data_center")
	required(c.Link.Value, "link")
	required(c.Admin.Value, "admin")
	required(c.LinkKeyFile+c.LinkKey, "link_key_file")
	if c.GCPercent < 0 {
		all = append(all, &Problem{Line: 1, Field: "gc_percent", Message: "is below 0; set the percentage by which the heap may grow, such as 50, or omit it"})
	}
	if c.LinkKey != "" && len(c.LinkKey) < minLinkKey {
		all = append(all, &Problem{Line: 1, Field: "link_key", Message: fmt.Sprintf("shorter than %d bytes; use a longer random key", minLinkKey)})
	}
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		all = append(all, &Problem{Line: 1, Field: "log_level", Message: fmt.Sprintf("%q is not a log level; use debug, info, warn or error", c.LogLevel)})
	}
	return all
}

// minLinkKey is the minimum key length in bytes, the same as for keys in files.
const minLinkKey = 16

// seedPeers returns the state processes at the seeds, without this process. Each is
// named after the address of its machine, as in its own settings.
func (c *Common) seedPeers() []Peer {
	own, err := netip.ParseAddrPort(c.AdvertisedLink().Value)
	if err != nil {
		return nil
	}
	var peers []Peer
	for _, seed := range c.Seeds {
		at, err := netip.ParseAddrPort(seed.Value)
		if err != nil || at.Addr() == own.Addr() {
			continue
		}
		link := netip.AddrPortFrom(at.Addr(), own.Port()).String()
		peers = append(peers, Peer{Name: at.Addr().String(), Address: Address{Value: link, Line: seed.Line}, DataCenter: unknownDataCenter})
	}
	return peers
}

// validateNumber returns a problem with the message unless the number is from 0 to most. YAML
// also has numbers that are infinite or none at all, which are refused for every setting.
func validateNumber(field string, value, most float64, message string) []error {
	if value >= 0 && value <= most {
		return nil
	}
	return []error{&Problem{Line: 1, Field: field, Message: message}}
}

// ValidateReload returns an error if the settings can't replace old without a restart of
// the process.
func (c *Common) ValidateReload(old *Common) error {
	var all []error
	unchanged := func(before, after, field string) {
		if before != after {
			all = append(all, &Problem{Line: 1, Field: field, Message: fmt.Sprintf("changed from %q to %q; restart the process to apply this", before, after)})
		}
	}
	unchanged(old.Name, c.Name, "name")
	unchanged(old.DataCenter, c.DataCenter, "data_center")
	unchanged(old.Link.Value, c.Link.Value, "link")
	unchanged(old.Admin.Value, c.Admin.Value, "admin")
	return errors.Join(all...)
}

// unknownDataCenter is the data centre of a seed until its process reports its own.
const unknownDataCenter = "unknown"

// isSeed reports whether this process is one of the seeds.
func (c *Common) isSeed() bool { return len(c.seedPeers()) < len(c.Seeds) }

func validatePeers(field string, peers []Peer) []error {
	var all []error
	names := make(map[string]bool)
	for _, peer := range peers {
		line := max(peer.Address.Line, 1)
		if peer.Name == "" || peer.Address.Value == "" {
			all = append(all, &Problem{Line: line, Field: field, Message: "an item has no name or no address; set both"})
		}
		if peer.DataCenter == "" {
			all = append(all, &Problem{Line: line, Field: field, Message: fmt.Sprintf("address %s has no data centre; add data_center", peer.Address)})
		}
		if names[peer.Name] {
			all = append(all, &Problem{Line: line, Field: field, Message: fmt.Sprintf("%q is listed twice; names must be unique", peer.Name)})
		}
		names[peer.Name] = true
	}
	return all
}
