package conf

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// place is the name of a key in a section, or of a section if the key is empty.
type place struct {
	section string
	key     string
}

// reader reads typed values from an INI text and collects every fault. The field used holds the sections
// and keys that were read; all others in the text are unknown.
type reader struct {
	file   string
	ini    *ini.File
	lines  map[place]int
	used   map[place]bool
	faults []Fault
}

func newReader(file, text string) *reader {
	r := &reader{file: file, lines: map[place]int{}, used: map[place]bool{}}
	options := ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: true}
	parsed, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		parsed = ini.Empty()
		r.fault(1, "", "", err.Error(), "an INI text")
	}
	r.ini = parsed
	r.indexLines(text)
	return r
}

// indexLines records the line number of each section and key. Duplicates and other lines are faults.
func (r *reader) indexLines(text string) {
	section := ini.DefaultSection
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			section = strings.TrimSpace(line[1 : len(line)-1])
			r.index(place{section: section}, i+1, line)
		case strings.Contains(line, "="):
			key, _, _ := strings.Cut(line, "=")
			r.index(place{section: section, key: strings.TrimSpace(key)}, i+1, line)
		default:
			r.fault(i+1, section, "", line, "[section], key = value, or a comment")
		}
	}
}

func (r *reader) index(p place, line int, text string) {
	if first, found := r.lines[p]; found {
		r.fault(line, p.section, p.key, text, "once; it is set at line "+strconv.Itoa(first)+" already")
		return
	}
	r.lines[p] = line
}

func (r *reader) fault(line int, section, key, found, allowed string) {
	r.faults = append(r.faults, Fault{File: r.file, Line: line, Section: section, Key: key, Found: found, Allowed: allowed})
}

// sections returns the names of the sections that start with the prefix, in the order of the file.
func (r *reader) sections(prefix string) (names []string) {
	for _, s := range r.ini.Sections() {
		if strings.HasPrefix(s.Name(), prefix) {
			names = append(names, s.Name())
		}
	}
	return names
}

func (r *reader) raw(section, key string) (value string, ok bool) {
	p := place{section: section, key: key}
	r.used[p] = true
	r.used[place{section: section}] = true
	if r.lines[p] == 0 {
		return "", false
	}
	return r.ini.Section(section).Key(key).String(), true
}

// finish adds a fault for each unknown section and key and returns all faults, ordered by line.
func (r *reader) finish() error {
	for p, line := range r.lines {
		if !r.used[p] {
			r.fault(line, p.section, p.key, "unknown name", r.known(p))
		}
	}
	slices.SortStableFunc(r.faults, func(a, b Fault) int { return a.Line - b.Line })
	return faultsError(r.faults)
}

func (r *reader) known(p place) string {
	var names []string
	for u := range r.used {
		if p.key != "" && u.section == p.section && u.key != "" {
			names = append(names, u.key)
		}
		if p.key == "" && u.key == "" {
			names = append(names, u.section)
		}
	}
	if len(names) == 0 {
		return "no keys in an unknown section"
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

// read returns the parsed value of a key, or the default if the key is absent or its value invalid.
func read[T any](r *reader, section, key string, byDefault T, allowed rule[T]) T {
	text, ok := r.raw(section, key)
	if !ok {
		return byDefault
	}
	value, ok := allowed.parse(text)
	if !ok {
		r.fault(r.lines[place{section: section, key: key}], section, key, text, allowed.text)
		return byDefault
	}
	return value
}

// need reads a key that is required.
func need[T any](r *reader, section, key string, allowed rule[T]) (value T) {
	if _, ok := r.raw(section, key); !ok {
		r.fault(max(1, r.lines[place{section: section}]), section, key, "", allowed.text)
		return value
	}
	return read(r, section, key, value, allowed)
}

// rule defines the allowed values of a key: a text for operators and a parser.
type rule[T any] struct {
	text  string
	parse func(string) (T, bool)
}

func durationBetween(low, high time.Duration) rule[time.Duration] {
	return rule[time.Duration]{
		text: "a duration with unit from " + low.String() + " to " + high.String(),
		parse: func(s string) (time.Duration, bool) {
			d, err := time.ParseDuration(s)
			return d, err == nil && d >= low && d <= high
		},
	}
}

func intBetween(low, high int) rule[int] {
	return rule[int]{
		text: "a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high),
		parse: func(s string) (int, bool) {
			n, err := strconv.Atoi(s)
			return n, err == nil && n >= low && n <= high
		},
	}
}

func numberBetween(low, high float64) rule[float64] {
	format := func(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }
	return rule[float64]{
		text: "a number from " + format(low) + " to " + format(high),
		parse: func(s string) (float64, bool) {
			n, err := strconv.ParseFloat(s, 64)
			return n, err == nil && n >= low && n <= high
		},
	}
}

func oneOf(words ...string) rule[string] {
	return rule[string]{
		text:  "one of " + strings.Join(words, ", "),
		parse: func(s string) (string, bool) { return s, slices.Contains(words, s) },
	}
}

func yesNo() rule[bool] {
	return rule[bool]{text: "yes or no", parse: func(s string) (bool, bool) { return s == "yes", s == "yes" || s == "no" }}
}

func text() rule[string] {
	return rule[string]{text: "a text that is not empty", parse: func(s string) (string, bool) { return s, s != "" }}
}

func word() rule[string] {
	return rule[string]{
		text:  "a name of 1 to 40 letters, digits, - or _",
		parse: func(s string) (string, bool) { return s, IsWord(s) },
	}
}

// maxWordLength is the largest length of the name of a service, host, upstream or data centre, in characters.
const maxWordLength = 40

// IsWord reports whether the text is a valid name of a service, host, upstream or data centre.
func IsWord(s string) bool {
	for _, c := range s {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_'
		if !letter {
			return false
		}
	}
	return s != "" && len(s) <= maxWordLength
}

func address() rule[string] {
	return rule[string]{
		text: "an IP address and a port such as 10.0.0.1:8080",
		parse: func(s string) (string, bool) {
			_, err := netip.ParseAddrPort(s)
			return s, err == nil
		},
	}
}

func addresses() rule[[]string] {
	item := address()
	return rule[[]string]{
		text: "a list of: " + item.text,
		parse: func(s string) (list []string, ok bool) {
			for _, part := range strings.Split(s, ",") {
				a, ok := item.parse(strings.TrimSpace(part))
				if !ok {
					return nil, false
				}
				list = append(list, a)
			}
			return list, len(list) > 0
		},
	}
}
