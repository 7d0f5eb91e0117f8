package conf

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong in a file.
type Fault struct {
	File    string `json:"file" cbor:"1,keyasint"`
	Line    int    `json:"line" cbor:"2,keyasint"`
	Section string `json:"section" cbor:"3,keyasint"`
	Key     string `json:"key" cbor:"4,keyasint"`
	Found   string `json:"found" cbor:"5,keyasint"`
	Allowed string `json:"allowed" cbor:"6,keyasint"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	where := f.Section
	if f.Key != "" {
		where = f.Section + "." + f.Key
	}
	return fmt.Sprintf("%s:%d: %s: found %s; allowed: %s", f.File, f.Line, where, readable(f.Found), f.Allowed)
}

// maxFound is how much of what was found is shown, in characters.
const maxFound = 80

// readable returns a text in quotes, cut to a length that fits a line.
func readable(s string) string {
	if r := []rune(s); len(r) > maxFound {
		return fmt.Sprintf("%q and %d more characters", string(r[:maxFound]), len(r)-maxFound)
	}
	return fmt.Sprintf("%q", s)
}

// ErrFaults is returned for a file that fails its check; nothing of it is used.
type ErrFaults struct {
	Faults []Fault
}

// Error returns all faults, one on each line.
func (e *ErrFaults) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// faultsError returns the faults as an error, or nil where there are none.
func faultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &ErrFaults{Faults: faults}
}
