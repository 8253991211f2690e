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
	// ratioPart is the part of the ratio that is used, inherited repeats
	// included; the rest is for what nodes learn late.
	ratioPart = 0.7
	// slackPart is the part of the slack that is used: a repeated run repeats
	// several calls of its own.
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

// First counts a first send to a service. Inherited is the part of it that is a
// repeat already, since the run that makes the call is one: it is charged, so
// that along a chain of services repeats add up to the ratio and no more.
func (b *Budget) First(service string, nodes int, inherited float64) {
	most := b.burst(nodes)
	credit, ok := b.credit[service]
	if !ok {
		credit = most
	}
	b.credit[service] = max(-most, min(most, credit+b.terms.Ratio*ratioPart-inherited))
}

// Extra reports whether one more send to a service is allowed, and counts it.
func (b *Budget) Extra(service string) bool {
	if b.credit[service] < 1 {
		return false
	}
	b.credit[service]--
	return true
}
