// Package claim defines the gossiped records of which node holds a shard of an
// organisation's rate and burst.
package claim

import (
	"fmt"
	"hash/fnv"
	"strconv"
)

// Shard identifies one shard of an organisation's rate and burst.
type Shard struct {
	Organisation string `json:"org"`
	Number       int    `json:"n"`
}

// String is the shard's name in keys and logs.
func (s Shard) String() string { return fmt.Sprintf("%s/%d", s.Organisation, s.Number) }

// Record names the holder of a shard. The record with the greatest epoch wins.
type Record struct {
	Shard Shard `json:"part"`
	// Epoch increases with each change of holder.
	Epoch uint64 `json:"epoch"`
	// Holder is the incarnation of the holding node, Address that of its listener
	// for peers.
	Holder  string `json:"holder"`
	Address string `json:"addr"`
	// Yielded is set once the former holder has confirmed that it stopped.
	Yielded bool `json:"yielded,omitempty"`
}

// Supersedes reports whether r is newer than known.
func (r Record) Supersedes(known Record) bool {
	if r.Epoch != known.Epoch {
		return r.Epoch > known.Epoch
	}
	return r.Yielded && !known.Yielded
}

// Hash is the same for equal states of a record.
func (r Record) Hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Shard.String()))
	_, _ = h.Write([]byte(strconv.FormatUint(r.Epoch, 16)))
	_, _ = h.Write(strconv.AppendBool(nil, r.Yielded))
	return h.Sum64()
}
