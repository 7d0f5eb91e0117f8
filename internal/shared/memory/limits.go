package memory

import (
	"math"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"golang.org/x/sys/unix"
)

// defaultBytes is the memory that a process plans for if its settings do not state any.
const defaultBytes = 256 << 20

// fallbackDescriptors is the number of descriptors if the limit of the process cannot be read.
const fallbackDescriptors = 1024

// Limits are what a process may use. Source is the origin of Memory: the settings, the default, or the resource limit that is below the
// default.
type Limits struct {
	Memory      int64 // bytes
	Descriptors int
	Source      string
}

// Sources of a memory limit.
const (
	SourceSettings = "settings"
	SourceDefault  = "default"
	sourceMachine  = "half of the machine"
	sourceAddress  = "half of the address space limit"
	sourceData     = "half of the data limit"
	sourceGroup    = "control group"
)

// NewLimits returns the limits of a process. Memory and descriptors that the settings state, those above zero, are taken as they are.
// Without them, the memory is the default or the smallest resource limit, and more only if the largest body needs it; the descriptors are
// the limit of the process.
func NewLimits(memory int64, descriptors int, largestBody int64) Limits {
	l := Limits{Memory: memory, Descriptors: descriptors, Source: SourceSettings}
	if memory <= 0 {
		l.Memory, l.Source = defaultMemory(largestBody, resourceLimits())
	}
	if descriptors <= 0 {
		l.Descriptors = fallbackDescriptors
		var limit unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
			l.Descriptors = int(min(limit.Cur, 1<<24))
		}
	}
	return l
}

// defaultMemory returns the memory of a process whose settings state none, given the resource limits by their sources.
func defaultMemory(largestBody int64, limits map[string]uint64) (memory int64, source string) {
	memory, source = max(defaultBytes, baseBytes+largestBody*3/2), SourceDefault
	for name, limit := range limits {
		if limit < uint64(memory) {
			memory, source = int64(limit), name
		}
	}
	return memory, source
}

// resourceLimits returns the limits on memory that the system sets for the process. Limits on the address space and on data count in part
// only, as the runtime reserves more than it uses.
func resourceLimits() map[string]uint64 {
	limits := map[string]uint64{}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		limits[sourceMachine] = uint64(info.Totalram) * uint64(info.Unit) / 2
	}
	for name, resource := range map[string]int{sourceAddress: unix.RLIMIT_AS, sourceData: unix.RLIMIT_DATA} {
		var limit unix.Rlimit
		if unix.Getrlimit(resource, &limit) == nil && limit.Cur < math.MaxInt64 {
			limits[name] = limit.Cur / 2
		}
	}
	if limit, err := memlimit.FromCgroup(); err == nil && limit > 0 {
		limits[sourceGroup] = limit
	}
	return limits
}
