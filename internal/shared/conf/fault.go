package conf

import (
	"fmt"
	"strings"
)

// Fault is one error in a file: the value found at a key and a description of the allowed values.
type Fault struct {
	File    string `json:"file" cbor:"1,keyasint"`
	Line    int    `json:"line" cbor:"2,keyasint"`
	Section string `json:"section" cbor:"3,keyasint"`
	Key     string `json:"key" cbor:"4,keyasint"`
	Found   string `json:"found" cbor:"5,keyasint"`
	Allowed string `json:"allowed" cbor:"6,keyasint"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	where := f.Section
	if f.Key != "" {
		where = f.Section + "." + f.Key
	}
	return fmt.Sprintf("%s:%d: %s: found %s; allowed: %s", f.File, f.Line, where, quoteShort(f.Found), f.Allowed)
}

// maxFound is the number of characters of a found value that are shown.
const maxFound = 80

// quoteShort returns the text in quotes, truncated to maxFound characters.
func quoteShort(s string) string {
	if r := []rune(s); len(r) > maxFound {
		return fmt.Sprintf("%q and %d more characters", string(r[:maxFound]), len(r)-maxFound)
	}
	return fmt.Sprintf("%q", s)
}

// ErrFaults is returned for an invalid file; none of its values is used.
type ErrFaults struct {
	Faults []Fault
}

// Error returns all faults, one per line.
func (e *ErrFaults) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// faultsError returns the faults as an error, or nil if there are none.
func faultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &ErrFaults{Faults: faults}
}
