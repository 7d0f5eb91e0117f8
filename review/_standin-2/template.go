package main

import (
	"fmt"
	"strings"
)

// fields are the settings that the platform fills into a template, by their full name.
type fields map[string]any

// render fills in a template of the deploy file: {{name}}, {{#name}}..{{/name}} and {{^name}}..{{/name}}.
func render(text string, f fields) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		name, after, _ := strings.Cut(rest, "}}")
		if kind := name[:1]; kind == "#" || kind == "^" {
			name = name[1:]
			inner, next, _ := strings.Cut(after, "{{/"+name+"}}")
			if value := f[name]; isSet(value) == (kind == "#") {
				out.WriteString(render(inner, f.with(".", value)))
			}
			text = next
			continue
		}
		if value := f[name]; value != nil {
			fmt.Fprint(&out, value)
		}
		text = after
	}
}

func (f fields) with(name string, value any) fields {
	next := fields{name: value}
	for n, v := range f {
		if n != name {
			next[n] = v
		}
	}
	return next
}

func isSet(value any) bool { return value != nil && value != false }
