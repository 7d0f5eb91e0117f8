package conf

import (
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const goodSettings = `[host]
name = a1
dataCentre = cairo-1
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:8081
admin = 127.0.0.1:8082
[control]
addresses = 127.0.0.1:8081, 127.0.0.2:8081
`

// faultsOf returns the faults of an error, which must be an ErrFaults.
func faultsOf(c *qt.C, err error) []Fault {
	c.Helper()
	var f *ErrFaults
	c.Assert(err, qt.ErrorAs, &f)
	return f.Faults
}

func TestSettings(t *testing.T) {
	c := qt.New(t)
	s, err := ParseSettings("a.ini", goodSettings)
	c.Assert(err, qt.IsNil)
	c.Assert(s.Name(), qt.Equals, "a1")
	c.Assert(s.Control(), qt.DeepEquals, []string{"127.0.0.1:8081", "127.0.0.2:8081"})
	c.Assert(s.LeaseTime(), qt.Equals, time.Second)
}

func TestAllFaultsAtOnce(t *testing.T) {
	c := qt.New(t)
	text := strings.NewReplacer("name = a1", "name = a 1", "callers = 127.0.0.1:8080", "callers = localhost:80", "[control]", "[control]\nleaseTime = 5").Replace(goodSettings)
	text += "leaseTime = 1s\n[limits]\nmaxBody = 7\nnonsense\n[extra]\nx = 1\n"
	_, err := ParseSettings("a.ini", text)
	found := map[string]int{}
	for _, f := range faultsOf(c, err) {
		c.Assert(f.File, qt.Equals, "a.ini")
		c.Assert(f.Allowed, qt.Not(qt.Equals), "")
		found[f.Section+"."+f.Key] = f.Line
	}
	c.Assert(found, qt.DeepEquals, map[string]int{"host.name": 2, "listen.callers": 5, "control.leaseTime": 11,
		"limits.maxBody": 13, "limits.": 14, "extra.": 15, "extra.x": 16})
}

func TestPlainTextOnlyOnLoopback(t *testing.T) {
	c := qt.New(t)
	open := strings.Replace(goodSettings, "peers = 127.0.0.1:8081", "peers = 10.0.0.1:8081", 1)
	_, err := ParseSettings("a.ini", open)
	c.Assert(faultsOf(c, err)[0].Key, qt.Equals, "peers")
	_, err = ParseSettings("a.ini", open+"[tls]\ncertificate = c\nkey = k\nca = a\n")
	c.Assert(faultsOf(c, err)[0].Section, qt.Equals, "tls")
	_, err = ParseSettings("a.ini", open+"[tls]\ncertificate = c\nkey = k\nauthority = a\n")
	c.Assert(err, qt.IsNil)
}

func TestServiceFilesOfTheFixtures(t *testing.T) {
	c := qt.New(t)
	names, err := filepath.Glob("../../../_fixtures/services/*.ini")
	c.Assert(err, qt.IsNil)
	var files []File
	for _, n := range names {
		text, err := os.ReadFile(n)
		c.Assert(err, qt.IsNil)
		files = append(files, File{Name: n, Text: string(text)})
	}
	services, err := ParseSet(files)
	c.Assert(err, qt.IsNil)
	c.Assert(services, qt.HasLen, 2)
	_, err = ParseSet(append(files, files[0]))
	c.Assert(faultsOf(c, err), qt.HasLen, 2)
}

func TestHandling(t *testing.T) {
	c := qt.New(t)
	s, err := ParseService("f", "[service]\nname = f\nprefix = /f\nkey = path:2\n"+
		"[request close]\nmethod = POST\npath = /f/*/closure\nclass = urgent\nidempotent = no\ndeadline = 1s\n"+
		"[request put]\nmethod = PUT\npath = /f/*\nidempotent = yes\n")
	c.Assert(err, qt.IsNil)
	cases := []struct {
		method, path string
		class        Class
		idempotent   bool
	}{
		{"POST", "/f/1/closure", ClassUrgent, false},
		{"POST", "/f/1/closure/x", ClassNormal, false},
		{"PUT", "/f/1", ClassNormal, true},
		{"PUT", "/f", ClassNormal, false},
		{"GET", "/f/1", ClassNormal, true},
		{"DELETE", "/f/1", ClassNormal, false},
	}
	for _, v := range cases {
		h := s.Handling(v.method, v.path)
		c.Assert([]any{h.Class, h.Idempotent}, qt.DeepEquals, []any{v.class, v.idempotent}, qt.Commentf("%s %s", v.method, v.path))
	}
}

func TestKeySources(t *testing.T) {
	c := qt.New(t)
	r := &http.Request{URL: &url.URL{Path: "/a/b/c", RawQuery: "k=q"}, Header: http.Header{"X-Key": {"h"}}}
	for text, want := range map[string]string{"path:2": "b", "path:9": "", "query:k": "q", "header:x-key": "h", "none": ""} {
		source, ok := keySource(true).parse(text)
		c.Assert(ok, qt.IsTrue)
		c.Assert(source.Value(r), qt.Equals, want)
	}
	for target, want := range map[string]string{"/a%2Fb/c%2Fd": "c/d", "/a/%62": "b", "/a/100%25": "100%", "/a/b+c": "b+c"} {
		u, err := url.Parse(target)
		c.Assert(err, qt.IsNil)
		source, _ := keySource(false).parse("path:2")
		c.Check(source.Value(&http.Request{URL: u}), qt.Equals, want)
	}
	for _, text := range []string{"", "path:0", "path:x", "cookie:k", "header:"} {
		_, ok := keySource(true).parse(text)
		c.Assert(ok, qt.IsFalse)
	}
}

func FuzzParseService(f *testing.F) {
	f.Add("[service]\nname = f\nprefix = /f\nkey = path:2\n")
	f.Add("[service\n= x\n[request ]\npath")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseService("f", text)
		if (s == nil) == (err == nil) {
			t.Fatal("ParseService must return either a service or an error")
		}
	})
}
