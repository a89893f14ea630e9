// Package settings reads the YAML settings of every lilacbridge process.
//
// Reading is strict: an unknown field, a duration without a unit or an address
// that is no IP number is an error that names the file, the line and the
// remedy. A process that can't read its settings exits with ExitCode.
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

// ExitCode is the exit status of a process whose settings are wrong.
const ExitCode = 2

// Problem is one thing wrong in a settings file.
type Problem struct {
	File    string
	Line    int
	Field   string
	Message string
}

// Error gives file:line: field: what is wrong and the remedy.
func (p *Problem) Error() string {
	field := p.Field
	if field != "" {
		field += ": "
	}
	return fmt.Sprintf("%s:%d: %s%s", p.File, p.Line, field, p.Message)
}

// Validator checks what the types of the fields can't; it returns *Problem
// values joined, with lines taken from the fields' own Line.
type Validator interface{ Validate() error }

// Load reads file into target strictly and validates it.
func Load(file string, target Validator) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "settings file can't be read; name it with --settings")
	}
	return Parse(file, data, target)
}

// Parse is Load for data already read; file is only for messages.
func Parse(file string, data []byte, target Validator) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	err := decoder.Decode(target)
	if errors.Is(err, io.EOF) {
		return &Problem{File: file, Line: 1, Message: "the file is empty; start from one under examples/"}
	}
	if err != nil {
		return locate(file, err)
	}
	return locate(file, target.Validate())
}

// locate gives each problem of err the file that it stands in.
func locate(file string, err error) error {
	if err == nil {
		return nil
	}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		var all []error
		for _, text := range typeError.Errors {
			all = append(all, fromYAML(file, text))
		}
		return errors.Join(all...)
	}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		var all []error
		for _, one := range joined.Unwrap() {
			all = append(all, locate(file, one))
		}
		return errors.Join(all...)
	}
	var problem *Problem
	if errors.As(err, &problem) {
		problem.File = file
		return problem
	}
	return fromYAML(file, err.Error())
}

// fromYAML takes the line out of the YAML library's "line 3: …" messages.
func fromYAML(file, text string) *Problem {
	text = strings.TrimPrefix(text, "yaml: ")
	line := 0
	if _, err := fmt.Sscanf(text, "line %d:", &line); err == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	if strings.Contains(text, "not found in type") {
		text += "; remove it or see docs/OPERATING.md for the fields"
	}
	return &Problem{File: file, Line: line, Message: text}
}

// Duration is a length of time with its unit, such as 500ms or 2s.
type Duration struct {
	time.Duration
	Line int
}

// UnmarshalYAML refuses numbers without a unit.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil || parsed < 0 {
		return &Problem{Line: node.Line, Message: fmt.Sprintf("%q is no duration; write a number with a unit, such as 500ms or 2s", node.Value)}
	}
	d.Duration, d.Line = parsed, node.Line
	return nil
}

// Or returns the duration, or the default where the field is absent.
func (d Duration) Or(byDefault time.Duration) time.Duration {
	if d.Line == 0 {
		return byDefault
	}
	return d.Duration
}

// Address is an IP number and port.
type Address struct {
	Value string
	Line  int
}

// UnmarshalYAML refuses names: instances are reached by IP number.
func (a *Address) UnmarshalYAML(node *yaml.Node) error {
	if _, err := netip.ParseAddrPort(node.Value); err != nil {
		return &Problem{Line: node.Line, Message: fmt.Sprintf("%q is no IP number with a port; write one such as 10.1.0.4:7100", node.Value)}
	}
	a.Value, a.Line = node.Value, node.Line
	return nil
}

func (a Address) String() string { return a.Value }

// Peer is another process of lilacbridge.
type Peer struct {
	// Name as in that process's own settings.
	Name string `yaml:"name"`
	// Address of its link listener.
	Address Address `yaml:"address"`
	// DataCenter that it stands in.
	DataCenter string `yaml:"data_center"`
}

// Common is what every daemon's settings hold.
type Common struct {
	// Name of the process, unique in the fleet. No default.
	Name string `yaml:"name"`
	// DataCenter that the process stands in. No default.
	DataCenter string `yaml:"data_center"`
	// Link is the address for lilacbridge's own processes. No default.
	Link Address `yaml:"link"`
	// Advertise is where the other processes reach Link, where that differs, as
	// behind an address translation. Default Link; the port must be the same.
	Advertise Address `yaml:"advertise"`
	// Admin is the address of /metrics, /healthz, /readyz and pprof. No default.
	Admin Address `yaml:"admin"`
	// LinkKeyFile holds the key that all processes share. No default; LinkKey may
	// stand in its place.
	LinkKeyFile string `yaml:"link_key_file"`
	// LinkKey is that key itself, for platforms that can't keep a file private: it
	// then only keeps strangers' processes apart, as after a reuse of addresses.
	LinkKey string `yaml:"link_key"`
	// Seeds are addresses at which other machines of the state processes are
	// reached; their link listeners have the same port as the own one. Default none.
	Seeds []Address `yaml:"seeds"`
	// LogLevel is one of debug, info, warn, error. Default info.
	LogLevel string `yaml:"log_level"`
	// GCPercent is by how much the heap may grow, in percent of what is in use, before
	// it is collected. Less saves memory and takes processor time. Default 100, the
	// runtime's own.
	GCPercent int `yaml:"gc_percent"`
}

// AdvertisedLink is the address at which the other processes reach this one.
func (c *Common) AdvertisedLink() Address {
	if c.Advertise.Value != "" {
		return c.Advertise
	}
	return c.Link
}

// Shared returns the part of the settings that all kinds of daemons have.
func (c *Common) Shared() *Common { return c }

func (c *Common) problems() []error {
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
		all = append(all, &Problem{Line: 1, Field: "gc_percent", Message: "is below 0; write how many percent the heap may grow, such as 50, or leave it out"})
	}
	if c.LinkKey != "" && len(c.LinkKey) < minLinkKey {
		all = append(all, &Problem{Line: 1, Field: "link_key", Message: fmt.Sprintf("shorter than %d bytes; write a longer random key", minLinkKey)})
	}
	switch c.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		all = append(all, &Problem{Line: 1, Field: "log_level", Message: fmt.Sprintf("%q is no level; write debug, info, warn or error", c.LogLevel)})
	}
	return all
}

// minLinkKey is the shortest key in bytes, as for keys in files.
const minLinkKey = 16

// seedPeers are the state processes behind the seeds, but for this process. They
// are named by their machines' addresses, as each names itself.
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

// ValidateReload returns why the settings can't take the place of others while the
// process runs; nil if they can.
func (c *Common) ValidateReload(old *Common) error {
	var all []error
	same := func(before, after, field string) {
		if before != after {
			all = append(all, &Problem{Line: 1, Field: field, Message: fmt.Sprintf("was %q and is %q; restart the process to change it", before, after)})
		}
	}
	same(old.Name, c.Name, "name")
	same(old.DataCenter, c.DataCenter, "data_center")
	same(old.Link.Value, c.Link.Value, "link")
	same(old.Admin.Value, c.Admin.Value, "admin")
	return errors.Join(all...)
}

// unknownDataCenter is that of a seed until its process has named its own.
const unknownDataCenter = "unknown"

// isSeed tells whether this process is one of the seeds.
func (c *Common) isSeed() bool { return len(c.seedPeers()) < len(c.Seeds) }

func peerProblems(field string, peers []Peer) []error {
	var all []error
	names := make(map[string]bool)
	for _, peer := range peers {
		line := max(peer.Address.Line, 1)
		if peer.Name == "" || peer.Address.Value == "" {
			all = append(all, &Problem{Line: line, Field: field, Message: "an entry lacks its name or address; write both"})
		}
		if peer.DataCenter == "" {
			all = append(all, &Problem{Line: line, Field: field, Message: fmt.Sprintf("address %s stands without a data centre; add data_center", peer.Address)})
		}
		if names[peer.Name] {
			all = append(all, &Problem{Line: line, Field: field, Message: fmt.Sprintf("%q stands twice; names are unique", peer.Name)})
		}
		names[peer.Name] = true
	}
	return all
}
