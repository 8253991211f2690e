// Package spare bounds the second sends to each service, so that all nodes
// together stay below a part of the first sends plus a fixed number.
package spare

// Terms bound the extra sends to one service over a window, fleet-wide.
type Terms struct {
	// Ratio is the part of first sends that may be sent again.
	Ratio float64
	// Slack is the number of extra sends beside the ratio.
	Slack float64
}

const (
	// rootPart and innerPart are the parts of the ratio that callers' requests
	// and calls of targets may use. A repeated run repeats its calls, so that the
	// last service of a chain of four gets the sum: 0.3 + 3 x 0.2.
	rootPart  = 0.3
	innerPart = 0.2
	// slackPart is the part of the slack that is used, for the same reason.
	slackPart = 0.25
)

// Budget counts sends of one node. It is not safe for concurrent use.
type Budget struct {
	terms  Terms
	credit map[string]float64
}

// New returns a budget without history.
func New(t Terms) *Budget { return &Budget{terms: t, credit: map[string]float64{}} }

// burst is the number of extra sends that one of n nodes may make at once.
func (b *Budget) burst(nodes int) float64 {
	return max(1, b.terms.Slack*slackPart/float64(max(nodes, 1)))
}

// First counts a first send to a service; inner tells calls of targets.
func (b *Budget) First(service string, nodes int, inner bool) {
	part := rootPart
	if inner {
		part = innerPart
	}
	most := b.burst(nodes)
	credit, ok := b.credit[service]
	if !ok {
		credit = most
	}
	b.credit[service] = min(most, credit+b.terms.Ratio*part)
}

// Extra reports whether one more send to a service is allowed, and counts it.
func (b *Budget) Extra(service string) bool {
	if b.credit[service] < 1 {
		return false
	}
	b.credit[service]--
	return true
}
