package link

import "time"

// Parameters of the sizes learnt by route.
const (
	sizeWeight  = 0.1                    // weight of the newest response in the averages of its route
	initialSize = 64 << 10               // bytes of a response before any was received
	initialLead = 300 * time.Millisecond // time before the response begins, before any was received
	maxRoutes   = 1024                   // routes whose averages are kept
)

// average is what was learnt about the responses of a route.
type average struct {
	bytes float64
	lead  float64
}

// sizes holds the averages by route.
type sizes struct {
	routes map[string]*average
}

func newSizes() *sizes { return &sizes{routes: map[string]*average{}} }

// of returns the expected size of a route's response in bytes and the expected time until it begins.
func (s *sizes) of(route string) (bytes float64, lead time.Duration) {
	if a := s.routes[route]; a != nil {
		return a.bytes, time.Duration(a.lead)
	}
	return initialSize, initialLead
}

// learn adds a complete response. If there are too many routes, it forgets all of them: a configuration that changes its routes so
// often has no use for what was learnt earlier.
func (s *sizes) learn(route string, bytes int, lead time.Duration) {
	a := s.routes[route]
	if a == nil {
		if len(s.routes) >= maxRoutes {
			clear(s.routes)
		}
		a = &average{bytes: initialSize, lead: float64(initialLead)}
		s.routes[route] = a
	}
	a.bytes += sizeWeight * (float64(bytes) - a.bytes)
	a.lead += sizeWeight * (float64(lead) - a.lead)
}
