package gateway

import (
	"github.com/cespare/xxhash/v2"
)

// EntryField is the part of an entry of the list of backend servers that makes it useless.
type EntryField int

// The parts of an entry.
const (
	// WholeEntry is not an object of fields, or is nested too deeply.
	WholeEntry EntryField = iota
	// RepeatedField occurs more than once in the entry.
	RepeatedField
	IdentityField
	ServiceField
	AddressField
	DataCenterField
	VersionField
	SlotsField
	StateField
	WarmUpField
	ReclaimableField
	StartField
	// ServiceDisagreement is another service, AddressDisagreement another address and
	// VersionDisagreement another software version than that of an entry with the same identity.
	ServiceDisagreement
	AddressDisagreement
	VersionDisagreement
	// NameCollision is a name that equals that of a server with another identity.
	NameCollision
	entryFields
)

var fieldNames = [entryFields]string{
	"entry", "repeated_field", "identity", "service", "address", "data_center", "version", "slots", "state", "warm_up",
	"reclaimable", "start", "service_disagreement", "address_disagreement", "version_disagreement", "name_collision",
}

// String returns the field's name, of which there is a fixed number.
func (f EntryField) String() string { return fieldNames[f] }

const (
	// maxRefusedExamples bounds the refused entries that are named, maxRefusedIdentity their names.
	maxRefusedExamples = 8
	maxRefusedIdentity = 64
)

// RefusedEntry is an entry that isn't used, or not all of it.
type RefusedEntry struct {
	// Identity is the beginning of the entry's identity; empty if it has none.
	Identity string
	Field    EntryField
}

// Refusals are the refused entries of a list.
type Refusals struct {
	Total   int
	ByField [entryFields]int
	// Examples are some of the entries.
	Examples []RefusedEntry
	// Sum is equal for lists with the same refused entries, in any order.
	Sum uint64
}

// Add counts an entry.
func (r *Refusals) Add(identity string, field EntryField) {
	r.Total++
	r.ByField[field]++
	r.Sum += xxhash.Sum64String(field.String() + "\x00" + identity)
	if len(r.Examples) < maxRefusedExamples {
		r.Examples = append(r.Examples, RefusedEntry{Identity: identity[:min(len(identity), maxRefusedIdentity)], Field: field})
	}
}

// Fields returns the fields with refused entries.
func (r *Refusals) Fields() []EntryField {
	var fields []EntryField
	for field, count := range r.ByField {
		if count > 0 {
			fields = append(fields, EntryField(field))
		}
	}
	return fields
}
