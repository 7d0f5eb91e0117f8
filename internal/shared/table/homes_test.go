package table

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ebonyrill.dev/ebonyrill/internal/shared/conf"
)

// TestHomesFollowServices checks that upstreams have homes only while there are services from files, and that the hosts count as changed
// when the homes appear.
func TestHomesFollowServices(t *testing.T) {
	c := qt.New(t)
	hosts := Delta{To: 1, Full: true, Upstreams: []Upstream{{Number: 1, Name: "u", Service: "s"}}, Entries: []EntryHost{{Name: "e"}}}
	v, err := NewView().Apply(hosts)
	c.Assert(err, qt.IsNil)
	_, ok := v.Home(1)
	c.Check(ok, qt.IsFalse)
	file := conf.File{Name: "s", Text: "[service]\nname = s\nprefix = /s\nkey = path:2\nslices = 1\n"}
	v, err = v.Apply(Delta{From: 1, To: 2, Config: &Config{Version: 2, Files: []conf.File{file}}})
	c.Assert(err, qt.IsNil)
	home, ok := v.Home(1)
	c.Check(ok, qt.IsTrue)
	c.Check(home.Name, qt.Equals, "e")
	c.Check(v.HostsVersion(), qt.Equals, uint64(2))
	v, err = v.Apply(Delta{From: 2, To: 3})
	c.Assert(err, qt.IsNil)
	c.Check(v.HostsVersion(), qt.Equals, uint64(2))
}
