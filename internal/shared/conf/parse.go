package conf

import (
	"strings"
	"time"
)

// requestPrefix is the prefix of the names of sections that describe a kind of request.
const requestPrefix = "request "

// ParseService parses and validates the text of a service file; the error lists every fault.
func ParseService(file, content string) (s *Service, err error) {
	r := newReader(file, content)
	s = &Service{}
	s.readService(r)
	s.readObjective(r)
	for _, section := range r.sections(requestPrefix) {
		s.requests = append(s.requests, s.readRule(r, section))
	}
	if err = r.finish(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Service) readService(r *reader) {
	const section = "service"
	s.name = need(r, section, "name", word())
	s.prefix = need(r, section, "prefix", pathPrefix())
	s.key = need(r, section, "key", keySource(true))
	s.caller = read(r, section, "caller", KeySource{}, keySource(false))
	s.slices = read(r, section, "slices", 256, intBetween(1, 100000))
	s.deadline = read(r, section, "deadline", 2*time.Second, durationBetween(10*time.Millisecond, 5*time.Minute))
	s.queue = read(r, section, "queue", 200, intBetween(0, 100000))
	s.resendWindow = read(r, section, "resendWindow", time.Minute, durationBetween(time.Second, time.Hour))
	s.retryShare = read(r, section, "retryShare", 0.1, numberBetween(0, 1))
	s.maxEjectShare = read(r, section, "maxEjectShare", 0.34, numberBetween(0, 1))
}

func (s *Service) readObjective(r *reader) {
	s.goodShare = read(r, "objective", "goodPercent", 99.9, numberBetween(50, 99.9999)) / 100
	s.latencyBound = read(r, "objective", "latency", 250*time.Millisecond, durationBetween(time.Millisecond, time.Minute))
	s.weights.imbalance = read(r, "placement", "imbalanceWeight", 1, numberBetween(0, 100))
	s.weights.churn = read(r, "placement", "churnWeight", 1, numberBetween(0, 100))
	s.weights.unavailable = read(r, "placement", "unavailableWeight", 1, numberBetween(0, 100))
}

func (s *Service) readRule(r *reader, section string) (q Rule) {
	q.name = strings.TrimSpace(strings.TrimPrefix(section, requestPrefix))
	q.method = read(r, section, "method", "", oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))
	q.path = need(r, section, "path", pathPattern())
	switch read(r, section, "class", "normal", oneOf("urgent", "normal", "batch")) {
	case "urgent":
		q.class = ClassUrgent
	case "batch":
		q.class = ClassBatch
	default:
		q.class = ClassNormal
	}
	q.idempotent = read(r, section, "idempotent", false, yesNo())
	q.deadline = read(r, section, "deadline", s.deadline, durationBetween(10*time.Millisecond, 5*time.Minute))
	return q
}

func pathPrefix() rule[string] {
	return rule[string]{text: "a path such as /frames", parse: func(s string) (string, bool) {
		return s, strings.HasPrefix(s, "/") && (s == "/" || !strings.HasSuffix(s, "/")) && !strings.ContainsAny(s, "*? #")
	}}
}

func pathPattern() rule[[]string] {
	return rule[[]string]{text: "a path such as /frames/*/closure, with * for one segment", parse: func(s string) ([]string, bool) {
		return strings.Split(strings.TrimPrefix(s, "/"), "/"), strings.HasPrefix(s, "/") && !strings.ContainsAny(s, "? #")
	}}
}

// File is one service file as an operator publishes it.
type File struct {
	Name string `json:"name" cbor:"1,keyasint"`
	Text string `json:"text" cbor:"2,keyasint"`
}

// ParseSet parses service files that are in force together: names and prefixes must be unique among them.
func ParseSet(files []File) (services []*Service, err error) {
	var faults []Fault
	for _, f := range files {
		s, err := ParseService(f.Name, f.Text)
		if err != nil {
			faults = append(faults, err.(*ErrFaults).Faults...)
			continue
		}
		for _, other := range services {
			if other.name == s.name {
				faults = append(faults, duplicate(f, "name", s.name))
			}
			if other.prefix == s.prefix {
				faults = append(faults, duplicate(f, "prefix", s.prefix))
			}
		}
		services = append(services, s)
	}
	if err = faultsError(faults); err != nil {
		return nil, err
	}
	return services, nil
}

func duplicate(f File, key, value string) Fault {
	r := newReader(f.Name, f.Text)
	line := r.lines[place{section: "service", key: key}]
	return Fault{File: f.Name, Line: line, Section: "service", Key: key, Found: value, Allowed: "a value that no other file uses"}
}
