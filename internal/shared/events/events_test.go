package events

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestCatalogueAndDocsAgree checks that docs/EVENTS.md lists the level, layer and text of each event, and no other events.
func TestCatalogueAndDocsAgree(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../../docs/EVENTS.md")
	c.Assert(err, qt.IsNil)
	documented := map[string]string{}
	for _, m := range regexp.MustCompile(`(?m)^\| (\d{4}) \| (\w+) \| (\w+) \| ([^|]+) \|`).FindAllStringSubmatch(string(text), -1) {
		documented[m[1]] = m[2] + "|" + m[3] + "|" + m[4]
	}
	for number, e := range Catalogue() {
		want := fmt.Sprintf("%s|%s|%s", e.Level(), e.Layer(), e.Text())
		c.Check(documented[fmt.Sprint(number)], qt.Equals, want, qt.Commentf("event %d", number))
	}
	c.Assert(documented, qt.HasLen, len(Catalogue()))
}
