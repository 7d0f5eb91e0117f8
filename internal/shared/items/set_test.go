package items

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func service(name string, version uint64) Item {
	return Item{Kind: KindService, Name: name, Version: version, Service: &Service{MaxConnections: 1}}
}

func routeTo(name string, version uint64, host, prefix, to string) Item {
	return Item{Kind: KindRoute, Name: name, Version: version, Route: &Route{Host: host, Prefix: prefix, MaxAttempts: 1,
		Timeout: time.Second, Targets: []Target{{Service: to, Weight: 1}}}}
}

func removed(kind Kind, name string, version uint64) Item {
	return Item{Kind: kind, Name: name, Version: version, Removed: true}
}

// TestApplyAgainstNaive compares the set with a map that keeps the highest version of each name.
func TestApplyAgainstNaive(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		set, naive := NewSet(), map[string]Item{}
		for range rapid.IntRange(1, 30).Draw(r, "calls") {
			var call []Item
			for range rapid.IntRange(1, 4).Draw(r, "items") {
				i := service(fmt.Sprint("s", rapid.IntRange(0, 3).Draw(r, "name")), rapid.Uint64Range(1, 9).Draw(r, "version"))
				if rapid.Bool().Draw(r, "removed") {
					i.Removed, i.Service = true, nil
				}
				call = append(call, i)
			}
			set, _ = set.Apply(call)
			for _, i := range call {
				if old, ok := naive[i.Name]; !ok || i.Version > old.Version {
					naive[i.Name] = i
				}
			}
		}
		for name, want := range naive {
			got, inForce := set.Get(Key{Kind: KindService, Name: name})
			if got.Version != want.Version || inForce == want.Removed {
				r.Fatalf("%s: got version %d in force %v, want version %d removed %v", name, got.Version, inForce, want.Version, want.Removed)
			}
		}
	})
}

func TestVersions(t *testing.T) {
	c := qt.New(t)
	set := FromItems([]Item{service("s", 5), routeTo("r", 5, "h", "/a/", "s")})
	same := routeTo("r", 5, "h", "/other/", "s")
	next, changed := set.Apply([]Item{same})
	c.Assert(changed, qt.HasLen, 0)
	c.Assert(next, qt.Equals, set)
	_, ok := next.Router().Find("h", "/other/x")
	c.Assert(ok, qt.IsFalse)
	without, _ := set.Apply([]Item{removed(KindRoute, "r", 7)})
	late, changed := without.Apply([]Item{routeTo("r", 6, "h", "/a/", "s")})
	c.Assert(changed, qt.HasLen, 0)
	_, ok = late.Router().Find("h", "/a/x")
	c.Assert(ok, qt.IsFalse)
	c.Assert(FromItems(late.All()).Len(), qt.Equals, late.Len())
}

func TestValidate(t *testing.T) {
	set := FromItems([]Item{service("s", 5), routeTo("r", 9, "h", "/a/", "s"), removed(KindService, "old", 6)})
	bad := func(change func(*Route)) Item {
		i := routeTo("new", 10, "h", "/n/", "s")
		change(i.Route)
		return i
	}
	cases := []struct {
		name  string
		items []Item
		want  string // part of the error
	}{
		{"valid", []Item{routeTo("new", 10, "h", "/n/", "s")}, ""},
		{"service in the same call", []Item{service("t", 1), routeTo("new", 10, "h", "/n/", "t")}, ""},
		{"unknown service", []Item{routeTo("new", 10, "h", "/n/", "none")}, "unknown service none"},
		{"outdated, its service removed since", []Item{routeTo("r", 4, "h", "/a/", "old")}, ""},
		{"outdated, its service never known", []Item{routeTo("r", 4, "h", "/a/", "none")}, "unknown service"},
		{"removed service", []Item{routeTo("new", 10, "h", "/n/", "old")}, "unknown service old"},
		{"host empty", []Item{bad(func(r *Route) { r.Host = "" })}, "host is empty"},
		{"no attempts", []Item{bad(func(r *Route) { r.MaxAttempts = 0 })}, "attempts"},
		{"weight below zero", []Item{bad(func(r *Route) { r.Targets = []Target{{"s", 1}, {"s", -1}} })}, "weight"},
		{"objective a minute above the timeout", []Item{bad(func(r *Route) { r.Objective = r.Timeout + time.Minute })}, "objective"},
		{"one of two is invalid", []Item{routeTo("ok", 10, "h", "/o/", "s"), bad(func(r *Route) { r.Host = "" })}, "host is empty"},
		{"outdated and invalid", []Item{{Kind: KindRoute, Name: "r", Version: 1, Route: &Route{}}}, "host is empty"},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			err := set.Validate(v.items)
			if v.want == "" {
				qt.Assert(t, err, qt.IsNil)
				return
			}
			qt.Assert(t, err, qt.ErrorMatches, ".*"+v.want+".*")
		})
	}
}

func TestRouter(t *testing.T) {
	c := qt.New(t)
	set := FromItems([]Item{service("s", 1), routeTo("short", 1, "H.example", "/a/", "s"), routeTo("long", 1, "h.example", "/a/b/", "s"),
		routeTo("newer", 3, "h.example", "/a/b/", "s")})
	find := func(host, path string) string {
		m, _ := set.Router().Find(host, path)
		return m.Name
	}
	c.Check(find("h.example", "/a/x"), qt.Equals, "short")
	c.Check(find("h.example:8080", "/a/b/x"), qt.Equals, "newer")
	c.Check(find("h.example", "/a/b"), qt.Equals, "short")
	c.Check(find("h.example", "/a"), qt.Equals, "")
	c.Check(find("other", "/a/x"), qt.Equals, "")
	c.Check(NewSet().Router().Empty(), qt.IsTrue)
}
