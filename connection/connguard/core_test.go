package connguard

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func open(t *testing.T, c *Core, host string) *Member {
	m, evicted := c.Open(host)
	is.New(t).True(m != nil && evicted == nil)
	return m
}

// Guards against a host with many idle connections that keeps others out.
func TestHostWithMostConnectionsMakesRoom(t *testing.T) {
	is := is.New(t)
	c := NewCore(Limits{Connections: 4, HeadBytes: 100})
	quiet := open(t, c, "quiet")
	first, second := open(t, c, "many"), open(t, c, "many")
	open(t, c, "many")
	is.True(c.Begin(first))
	m, evicted := c.Open("new")
	is.True(m != nil)
	is.Equal(evicted, second) // the oldest without a request, of the host with most
	is.True(c.Begin(quiet))
	is.True(!c.Begin(second))
}

// Guards against a connection that is closed while its request is handled.
func TestConnectionWithARequestIsNotEvicted(t *testing.T) {
	is := is.New(t)
	c := NewCore(Limits{Connections: 1, HeadBytes: 100})
	m := open(t, c, "a")
	is.True(c.Begin(m))
	other, evicted := c.Open("b")
	is.True(other == nil && evicted == nil)
	c.End(m)
	other, evicted = c.Open("b")
	is.True(other != nil)
	is.Equal(evicted, m)
}

// Guards against a head that is turned away for memory which others use.
func TestHostWhoseHeadsTakeMostMakesRoom(t *testing.T) {
	is := is.New(t)
	c := NewCore(Limits{Connections: 10, HeadBytes: 100})
	first, second, other := open(t, c, "heavy"), open(t, c, "heavy"), open(t, c, "light")
	for m, bytes := range map[*Member]int64{first: 40, second: 40} {
		ok, evicted := c.Charge(m, bytes)
		is.True(ok && len(evicted) == 0)
	}
	ok, evicted := c.Charge(other, 30)
	is.True(ok)
	is.Equal(len(evicted), 1)
	is.True(evicted[0] == first || evicted[0] == second)
	is.Equal(c.Stats().HeadBytes, int64(70))
	ok, _ = c.Charge(other, 90) // now it takes most itself
	is.True(!ok)
	is.True(!c.Begin(other))
}

// Guards against connections that close for others faster than their descriptors become free.
func TestConnectionsThatAreClosingAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCore(Limits{Connections: 8, HeadBytes: 100})
	for range 100 {
		c.Open("a")
	}
	is.True(c.Stats().Connections <= 8+8/closingDivisor+1)
}

// Guards against an account that drifts: it never exceeds its limits, and is empty once all
// connections are closed.
func TestAccountOfRandomConnections(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := NewCore(Limits{Connections: 20, HeadBytes: 1000})
		var members []*Member
		for range 2000 {
			if len(members) == 0 || random.IntN(4) == 0 {
				if m, _ := c.Open(string(rune('a' + random.IntN(3)))); m != nil {
					members = append(members, m)
				}
				continue
			}
			i := random.IntN(len(members))
			m := members[i]
			switch random.IntN(5) {
			case 0:
				c.Charge(m, int64(random.IntN(300)))
			case 1:
				c.Begin(m)
			case 2:
				c.Release(m)
			case 3:
				c.End(m)
			case 4:
				c.Close(m)
				c.Close(m)
				members = append(members[:i], members[i+1:]...)
			}
			is.True(c.Stats().HeadBytes <= 1000)
			is.True(c.Stats().Connections == len(members) && len(members) <= 20+20/closingDivisor+1)
		}
		for _, m := range members {
			c.Close(m)
		}
		is.Equal(c.Stats().Connections, 0)
		is.Equal(c.Stats().HeadBytes, int64(0))
		is.Equal(len(c.owners)+c.closing, 0)
	}
}
