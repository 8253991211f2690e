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
	// reserve is the number of extra sends that calls of targets leave to
	// callers' requests. One more send can save a whole request of a caller,
	// while each of the calls that a target makes saves it only if all succeed.
	reserve = 1
)

// Origin tells who made a request.
type Origin int

// The origins of requests.
const (
	// Caller made a request that is worth something by itself.
	Caller Origin = iota
	// Target made a call for a request that it runs.
	Target
)

// Budget counts sends of one node. It is not safe for concurrent use.
type Budget struct {
	terms  Terms
	credit map[string]float64
}

// New returns a budget without history.
func New(t Terms) *Budget { return &Budget{terms: t, credit: map[string]float64{}} }

// part is this node's part of the slack, in extra sends.
func (b *Budget) part(nodes int) float64 {
	return b.terms.Slack * slackPart / float64(max(nodes, 1))
}

// First counts a first send to a service. Inherited is the part of it that is a
// repeat already, since the run that makes the call is one: it is charged, so
// that along a chain of services repeats add up to the ratio and no more.
func (b *Budget) First(service string, nodes int, inherited float64) {
	part := b.part(nodes)
	most := max(1, part) + reserve
	credit, ok := b.credit[service]
	if !ok {
		credit = part
	}
	b.credit[service] = max(-most, min(most, credit+b.terms.Ratio*ratioPart-inherited))
}

// Extra reports whether one more send to a service is allowed, and counts it.
func (b *Budget) Extra(service string, from Origin) bool {
	need := 1.0
	if from == Target {
		need += reserve
	}
	if b.credit[service] < need {
		return false
	}
	b.credit[service]--
	return true
}
