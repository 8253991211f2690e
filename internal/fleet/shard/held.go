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
	// leaseDuration is how long a lease is valid, from when the holder began its
	// last successful renewal.
	leaseDuration = 30 * time.Second
	// renewInterval is the time between renewals.
	renewInterval = 10 * time.Second
	// takeoverDelay is how long a candidate must see a lease unchanged before it
	// takes over the shard with a shared lease.
	takeoverDelay = leaseDuration + 5*time.Second
)

// keyPrefix is the prefix of the keys of lease objects.
const keyPrefix = "part/"

// lease is the value of a shard's object in the platform's store.
type lease struct {
	claim.Record
	// Released is set by a holder that has stopped granting.
	Released bool `json:"released,omitempty"`
	// Level is the number of tokens left at release.
	Level float64 `json:"level,omitempty"`
}

func decodeLease(value []byte) (lease, error) {
	var l lease
	if err := json.Unmarshal(value, &l); err != nil {
		return l, trace.BadParameter("decode lease object: %v", err)
	}
	return l, nil
}

func (l lease) encode() ([]byte, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode lease object: %w", err)
	}
	return value, nil
}

// heldShard is a shard that this node holds.
type heldShard struct {
	record  claim.Record
	bucket  *bucket.Bucket
	version uint64
	// exclusive is set while no former holder can be granting.
	exclusive bool
	// predecessor is the incarnation that may still be granting unless exclusive.
	predecessor string
	// renewed is when the last successful renewal began.
	renewed time.Time
	// attempted is when the last renewal was attempted.
	attempted time.Time
}

// leaseState is the state of the lease at now. It is evaluated before each grant,
// so a holder that was paused notices that its lease has expired.
func (h *heldShard) leaseState(now time.Time) bucket.LeaseState {
	switch {
	case now.Sub(h.renewed) >= leaseDuration:
		return bucket.Expired
	case !h.exclusive:
		return bucket.Shared
	}
	return bucket.Exclusive
}

// becomeExclusive records that the former holder has provably stopped.
func (h *heldShard) becomeExclusive(now time.Time) {
	h.exclusive = true
	h.bucket.TakeOver(now)
}

// draw grants tokens at now.
func (h *heldShard) draw(now time.Time, limits bucket.Limits, request bucket.Request) bucket.Grant {
	h.bucket.SetLimits(now, limits)
	h.bucket.SetLeaseState(now, h.leaseState(now))
	return h.bucket.Draw(now, request)
}
