package shard

import (
	"encoding/json"
	"fmt"
	"time"

	"chestnutshed.example/chestnutshed/internal/fleet/claim"
	"chestnutshed.example/chestnutshed/internal/policy/bucket"
	"github.com/gravitational/trace"
)

const (
	// leaseTime is how long a claim lasts after the holder began to renew it.
	leaseTime = 30 * time.Second
	// renewEvery is the time between renewals.
	renewEvery = 10 * time.Second
	// lapseTime is how long a challenger must see a claim unchanged before it
	// takes the remainder.
	lapseTime = leaseTime + 5*time.Second
)

// prefix starts the keys of the objects that name holders.
const prefix = "part/"

// lease is the value of a part's object at the platform.
type lease struct {
	claim.Record
	// Released is set by a holder that has stopped granting.
	Released bool `json:"released,omitempty"`
	// Level is the number of tokens left at the release.
	Level float64 `json:"level,omitempty"`
}

func decodeLease(value []byte) (lease, error) {
	var l lease
	if err := json.Unmarshal(value, &l); err != nil {
		return l, trace.BadParameter("part object: %v", err)
	}
	return l, nil
}

func (l lease) encode() ([]byte, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode part object: %w", err)
	}
	return value, nil
}

// held is one part that this node holds.
type held struct {
	record  claim.Record
	bucket  *bucket.Bucket
	version uint64
	// full is set while no former holder can be granting.
	full bool
	// former is the incarnation that may still be granting, unless full.
	former string
	// leased is when the last successful renewal began.
	leased time.Time
	// renewed is when a renewal was last tried.
	renewed time.Time
}

// claimAt is how much of the part may be handed out at now. It is asked before
// each grant, so that a holder that was paused past its lease notices.
func (h *held) claimAt(now time.Time) bucket.Claim {
	switch {
	case now.Sub(h.leased) >= leaseTime:
		return bucket.Lapsed
	case !h.full:
		return bucket.Remainder
	}
	return bucket.Whole
}

// becomeSole notes that the former holder has provably stopped.
func (h *held) becomeSole(now time.Time) {
	h.full = true
	h.bucket.Inherit(now)
}

// draw grants tokens at now.
func (h *held) draw(now time.Time, terms bucket.Limits, ask bucket.Request) bucket.Grant {
	h.bucket.SetTerms(now, terms)
	h.bucket.SetClaim(now, h.claimAt(now))
	return h.bucket.Draw(now, ask)
}
