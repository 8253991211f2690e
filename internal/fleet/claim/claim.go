// Package claim defines what nodes tell each other about who holds a part of
// an organisation's rate.
package claim

import (
	"fmt"
	"hash/fnv"
	"strconv"
)

// Part names one part of an organisation's rate and burst.
type Part struct {
	Organisation string `json:"org"`
	Number       int    `json:"n"`
}

// String is the part's name in keys and logs.
func (p Part) String() string { return fmt.Sprintf("%s/%d", p.Organisation, p.Number) }

// Record tells who holds a part. The one with the greatest epoch counts.
type Record struct {
	Part Part `json:"part"`
	// Epoch grows with each change of holder.
	Epoch uint64 `json:"epoch"`
	// Holder is the node's incarnation, Address its peers' listener.
	Holder  string `json:"holder"`
	Address string `json:"addr"`
	// Yielded is set once the former holder has said that it stopped.
	Yielded bool `json:"yielded,omitempty"`
}

// Outranks reports whether r is newer than known.
func (r Record) Outranks(known Record) bool {
	if r.Epoch != known.Epoch {
		return r.Epoch > known.Epoch
	}
	return r.Yielded && !known.Yielded
}

// Hash is equal for equal states of a record.
func (r Record) Hash() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(r.Part.String()))
	_, _ = h.Write([]byte(strconv.FormatUint(r.Epoch, 16)))
	_, _ = h.Write(strconv.AppendBool(nil, r.Yielded))
	return h.Sum64()
}
