// Package statement parses the operators' language: queries over the whole fleet, and
// changes that take effect everywhere.
//
// The grammar is in grammar.go; docs/OPERATING.md explains each statement. Keywords are
// not case-sensitive.
package statement

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// Statement is a parsed statement. Apart from IfRevision, exactly one of the pointers is
// set.
type Statement struct {
	Show       *Show    `parser:"(  'SHOW' @@"`
	Set        *Set     `parser:" | 'SET' @@"`
	Drop       *Drop    `parser:" | 'DROP' @@"`
	Drain      *Target  `parser:" | 'DRAIN' @@"`
	Return     *Target  `parser:" | 'RETURN' @@"`
	Load       *Order   `parser:" | 'LOAD' @@"`
	Unload     *Order   `parser:" | 'UNLOAD' @@"`
	Lift       *Lift    `parser:" | 'LIFT' @@"`
	Forget     *Forget  `parser:" | 'FORGET' @@ )"`
	IfRevision *uint64  `parser:"( 'IF' 'REVISION' @Number )?"`
	End        struct{} `parser:"';'?"`
}

// Show is a query for the rows of one subject.
type Show struct {
	Subject string      `parser:"@( 'REQUESTS' | 'SERVERS' | 'CLASSES' | 'TEAMS' | 'INSTANCES' | 'REVISIONS' | 'AUDIT' | 'LEASES' | 'DUTIES' | 'REPLICAS' | 'CONVICTIONS' | 'VERSIONS' | 'MODELS' | 'STATE' | 'SHARES' )"`
	Where   []Condition `parser:"( 'WHERE' @@ ( 'AND' @@ )* )?"`
	OrderBy string      `parser:"( 'ORDER' 'BY' @Ident"`
	Desc    bool        `parser:"  ( 'ASC' | @'DESC' )? )?"`
	Limit   *int        `parser:"( 'LIMIT' @Number )?"`
}

// Condition compares a column with a value.
type Condition struct {
	Column string `parser:"@Ident"`
	Op     string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' | 'CONTAINS' )"`
	Value  string `parser:"@( Ident | String | Duration | Percent | Number | Hex )"`
}

// Set creates an object or changes the named fields of one.
type Set struct {
	Class  *SetClass  `parser:"  'CLASS' @@"`
	Team   *SetTeam   `parser:"| 'TEAM' @@"`
	Server *SetServer `parser:"| 'SERVER' @@"`
}

// SetClass changes a request class.
type SetClass struct {
	Name   string       `parser:"@( Ident | String )"`
	Fields []ClassField `parser:"@@+"`
}

// ClassField is one field of SetClass.
type ClassField struct {
	Tier          *uint32 `parser:"  'TIER' @Number"`
	FirstToken    string  `parser:"| 'FIRST' 'TOKEN' @Duration"`
	BetweenTokens string  `parser:"| 'BETWEEN' 'TOKENS' @Duration"`
	Share         string  `parser:"| 'SHARE' @Percent"`
	Late          string  `parser:"| 'LATE' @( 'RUN' | 'REFUSE' )"`
}

// SetTeam changes a team.
type SetTeam struct {
	Name   string      `parser:"@( Ident | String )"`
	Fields []TeamField `parser:"@@+"`
}

// TeamField is one field of SetTeam.
type TeamField struct {
	Weight  *uint32 `parser:"  'WEIGHT' @Number"`
	Limit   *uint64 `parser:"| 'LIMIT' @Number 'TOKENS' 'PER' 'SECOND'"`
	Burst   *uint64 `parser:"| 'BURST' @Number 'TOKENS'"`
	NoLimit bool    `parser:"| @( 'NO' 'LIMIT' )"`
}

// SetServer changes a backend server.
type SetServer struct {
	Name   string        `parser:"@( Ident | String )"`
	Fields []ServerField `parser:"@@+"`
}

// ServerField is one field of SetServer.
type ServerField struct {
	Address    string   `parser:"  'ADDRESS' @String"`
	DataCenter string   `parser:"| 'DATA' ( 'CENTRE' | 'CENTER' ) @( Ident | String )"`
	Engine     bool     `parser:"| @'ENGINE'"`
	Service    bool     `parser:"| @'SERVICE'"`
	Serves     []string `parser:"| 'SERVES' @( Ident | String ) ( ',' @( Ident | String ) )*"`
	Slots      *uint32  `parser:"| 'SLOTS' @Number"`
	Fencing    string   `parser:"| 'FENCING' @( 'CHECKED' | 'IGNORED' )"`
}

// Drop removes an object.
type Drop struct {
	Class  string `parser:"  'CLASS' @( Ident | String )"`
	Team   string `parser:"| 'TEAM' @( Ident | String )"`
	Server string `parser:"| 'SERVER' @( Ident | String )"`
}

// Target is the server or instance that DRAIN and RETURN act on.
type Target struct {
	Server   string `parser:"  'SERVER' @( Ident | String )"`
	Instance string `parser:"| 'INSTANCE' @( Ident | String )"`
}

// Order loads or unloads a model or adapter on a backend server.
type Order struct {
	Model   string `parser:"'MODEL' @( Ident | String )"`
	Adapter string `parser:"( 'ADAPTER' @( Ident | String ) )?"`
	Server  string `parser:"'ON' @( Ident | String )"`
}

// Lift removes the conviction of a request.
type Lift struct {
	Digest string `parser:"'CONVICTION' @( Hex | String )"`
}

// Forget deletes the records of finished non-idempotent requests.
type Forget struct {
	// Before is a date such as 2026-06-01; it means the start of that day in UTC.
	Before string `parser:"'KEYS' 'BEFORE' @String"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Hex", Pattern: `[0-9a-f]{64}`},
	{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
	{Name: "Duration", Pattern: `\d+(\.\d+)?(ms|us|s|m|h)\b`},
	{Name: "Percent", Pattern: `\d+(\.\d+)?%`},
	{Name: "Number", Pattern: `\d+`},
	{Name: "Ident", Pattern: `[a-zA-Z_][a-zA-Z0-9_./-]*`},
	{Name: "Op", Pattern: `!=|<=|>=|[=<>,;]`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[Statement](
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.CaseInsensitive("Ident"),
	participle.UseLookahead(0),
)

// keywords are the words that an error message may suggest.
var keywords = []string{
	"SHOW", "SET", "DROP", "DRAIN", "RETURN", "LOAD", "UNLOAD", "LIFT", "FORGET", "KEYS", "BEFORE", "IF", "REVISION",
	"REQUESTS", "SERVERS", "CLASSES", "TEAMS", "INSTANCES", "REVISIONS", "AUDIT", "LEASES", "DUTIES", "REPLICAS", "CONVICTIONS", "VERSIONS", "MODELS", "STATE", "SHARES",
	"WHERE", "AND", "ORDER", "BY", "ASC", "DESC", "LIMIT", "CONTAINS",
	"CLASS", "TEAM", "SERVER", "INSTANCE", "TIER", "FIRST", "TOKEN", "BETWEEN", "TOKENS", "SHARE", "LATE", "RUN", "REFUSE",
	"WEIGHT", "BURST", "PER", "SECOND", "NO", "ADDRESS", "DATA", "CENTRE", "ENGINE", "SERVICE", "SERVES", "SLOTS",
	"FENCING", "CHECKED", "IGNORED", "MODEL", "ADAPTER", "ON", "CONVICTION",
}
