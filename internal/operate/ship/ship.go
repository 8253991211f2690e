// Package ship puts a manifest in force: conditionally on the version that was
// reviewed, so that of two racing operators one is refused, and settled by
// reading back when an answer of the platform is lost.
package ship

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/active"
	"chestnutshed.example/chestnutshed/internal/config/manifest"
	"chestnutshed.example/chestnutshed/internal/operate/review"
	"chestnutshed.example/chestnutshed/internal/platform/object"
	"github.com/google/uuid"
	"github.com/gravitational/trace"
)

const (
	// historyKey is the object that lists the latest ships.
	historyKey = "config/history"
	// maxHistory bounds the list.
	maxHistory = 500
	// keepTexts is the number of latest versions whose whole text is kept.
	keepTexts = 10
	// settleTries bounds the tries to learn what came of a write.
	settleTries = 8
	// settleWait is the time between them.
	settleWait = 500 * time.Millisecond
)

// Entry is one ship in the history.
type Entry struct {
	Head    active.Head     `json:"head"`
	Changes []review.Change `json:"changes"`
}

// InForce is the configuration at the platform.
type InForce struct {
	Head active.Head
	Text []byte
	// Object is the version of the head object; 0 if there is none.
	Object uint64
}

// Read returns the configuration at the platform; a zero value before the
// first ship.
func Read(ctx context.Context, store *object.Client) (InForce, error) {
	o, err := store.Get(ctx, active.HeadKey)
	if trace.IsNotFound(err) {
		return InForce{}, nil
	}
	if err != nil {
		return InForce{}, fmt.Errorf("read head: %w", err)
	}
	head, err := active.DecodeHead(o.Value)
	if err != nil {
		return InForce{}, err
	}
	text, err := store.Get(ctx, active.TextKey(head.ShipID))
	if err != nil {
		return InForce{}, fmt.Errorf("read configuration %d: %w", head.Version, err)
	}
	return InForce{Head: head, Text: text.Value, Object: o.Version}, nil
}

// Manifest parses the configuration in force; before the first ship it is
// empty.
func (f InForce) Manifest() (manifest.Manifest, error) {
	if f.Object == 0 {
		return manifest.Manifest{}.Defaults(), nil
	}
	m, err := manifest.Parse(f.Text)
	if err != nil {
		return m, fmt.Errorf("configuration %d in force: %w", f.Head.Version, err)
	}
	return m, nil
}

// Request is what an operator wants in force.
type Request struct {
	Text []byte
	// Reviewed is the version that the operator compared with.
	Reviewed uint64
	By       string
}

// Ship writes a manifest to the platform. It returns trace.CompareFailed when
// the version in force is not the reviewed one any more, naming who shipped
// it; then nothing was changed.
func Ship(ctx context.Context, now time.Time, store *object.Client, r Request) (Entry, error) {
	next, err := manifest.Parse(r.Text)
	if err != nil {
		return Entry{}, fmt.Errorf("manifest: %w", err)
	}
	force, err := Read(ctx, store)
	if err != nil {
		return Entry{}, fmt.Errorf("read what is in force: %w", err)
	}
	if force.Head.Version != r.Reviewed {
		return Entry{}, raced(force.Head, r.Reviewed)
	}
	old, err := force.Manifest()
	if err != nil {
		return Entry{}, err
	}
	head := active.Head{
		Version: force.Head.Version + 1,
		ShipID:  uuid.NewString(),
		By:      r.By,
		At:      now.UTC().Truncate(time.Millisecond),
		Digest:  active.Digest(r.Text),
		Delta:   active.NewDelta(force.Text, r.Text),
	}
	if err := writeText(ctx, store, head, r.Text); err != nil {
		return Entry{}, err
	}
	if err := writeHead(ctx, store, head, force.Object); err != nil {
		if trace.IsCompareFailed(err) {
			_ = store.Delete(ctx, active.TextKey(head.ShipID), 1)
		}
		return Entry{}, err
	}
	entry := Entry{Head: head, Changes: review.Compare(old, next)}
	entry.Head.Delta = nil
	if err := note(ctx, store, entry); err != nil {
		return entry, fmt.Errorf("version %d is in force, but not in the history: %w", head.Version, err)
	}
	forgetText(ctx, store, head.Version)
	return entry, nil
}

// forgetText removes the text of the version that is keepTexts older. A text
// that stays behind costs room and nothing else.
func forgetText(ctx context.Context, store *object.Client, version uint64) {
	entries, _, err := readHistory(ctx, store)
	if err != nil {
		return
	}
	for _, e := range entries {
		if e.Head.Version+keepTexts == version {
			_ = store.Delete(ctx, active.TextKey(e.Head.ShipID), 1)
		}
	}
}

func raced(head active.Head, reviewed uint64) error {
	return trace.CompareFailed("version %d by %s of %s is in force, not the reviewed version %d: diff again",
		head.Version, head.By, head.At.Format(time.RFC3339), reviewed)
}

// writeText writes the whole text under the ship's own key. No other writer
// uses it, so a lost answer is settled by writing again.
func writeText(ctx context.Context, store *object.Client, head active.Head, text []byte) error {
	var err error
	for range settleTries {
		_, err = store.Put(ctx, active.TextKey(head.ShipID), text, 0)
		if err == nil || trace.IsCompareFailed(err) {
			return nil
		}
		if !pause(ctx) {
			break
		}
	}
	return fmt.Errorf("write text: %w", err)
}

// writeHead makes the version current. A lost answer is settled by reading the
// head back until it names this ship or another.
func writeHead(ctx context.Context, store *object.Client, head active.Head, object64 uint64) error {
	value, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, err = store.Put(ctx, active.HeadKey, value, object64)
	switch {
	case err == nil:
		return nil
	case trace.IsCompareFailed(err):
		return readBack(ctx, store, head, object64)
	case errors.Is(err, object.ErrUncertain):
		return readBack(ctx, store, head, object64)
	}
	return fmt.Errorf("write head: %w", err)
}

func readBack(ctx context.Context, store *object.Client, head active.Head, object64 uint64) error {
	for range settleTries {
		o, err := store.Get(ctx, active.HeadKey)
		switch {
		case err == nil && o.Version > object64:
			return compareHead(o.Value, head)
		case err == nil || (trace.IsNotFound(err) && object64 == 0):
			value, encodeErr := json.Marshal(head)
			if encodeErr != nil {
				return fmt.Errorf("encode head: %w", encodeErr)
			}
			if _, err := store.Put(ctx, active.HeadKey, value, object64); err == nil {
				return nil
			}
		}
		if !pause(ctx) {
			break
		}
	}
	return fmt.Errorf("version %d by ship %s: %w: read the status before shipping again", head.Version, head.ShipID, object.ErrUncertain)
}

func compareHead(value []byte, head active.Head) error {
	found, err := active.DecodeHead(value)
	if err != nil {
		return err
	}
	if found.ShipID == head.ShipID {
		return nil
	}
	if found.Version > head.Version {
		return trace.CompareFailed("version %d by %s is in force; whether version %d was in between is in the history",
			found.Version, found.By, head.Version)
	}
	return raced(found, head.Version-1)
}

func pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(settleWait):
		return true
	}
}

// note adds a ship to the history; other ships may do so at the same time.
func note(ctx context.Context, store *object.Client, entry Entry) error {
	var err error
	for range settleTries {
		var entries []Entry
		var version uint64
		entries, version, err = readHistory(ctx, store)
		if err == nil {
			if len(entries) > 0 && entries[len(entries)-1].Head.ShipID == entry.Head.ShipID {
				return nil
			}
			err = writeHistory(ctx, store, append(entries, entry), version)
		}
		if err == nil {
			return nil
		}
		if !pause(ctx) {
			break
		}
	}
	return err
}

func writeHistory(ctx context.Context, store *object.Client, entries []Entry, version uint64) error {
	for {
		if len(entries) > maxHistory {
			entries = entries[len(entries)-maxHistory:]
		}
		value, err := json.Marshal(entries)
		if err != nil {
			return fmt.Errorf("encode history: %w", err)
		}
		if len(value) > object.MaxSize/2 && len(entries) > 1 {
			entries = entries[len(entries)/2:]
			continue
		}
		if _, err := store.Put(ctx, historyKey, value, version); err != nil {
			return fmt.Errorf("write history: %w", err)
		}
		return nil
	}
}

func readHistory(ctx context.Context, store *object.Client) ([]Entry, uint64, error) {
	o, err := store.Get(ctx, historyKey)
	if trace.IsNotFound(err) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, fmt.Errorf("read history: %w", err)
	}
	var entries []Entry
	if err := json.Unmarshal(o.Value, &entries); err != nil {
		return nil, 0, trace.BadParameter("history object: %v", err)
	}
	return entries, o.Version, nil
}

// History returns the latest ships, the oldest first.
func History(ctx context.Context, store *object.Client) ([]Entry, error) {
	entries, _, err := readHistory(ctx, store)
	return entries, err
}
