// Package ship publishes manifests to the platform.
//
// The write is conditional on the version that the operator reviewed: if two
// operators ship at the same time, one of them gets an error. If a response of
// the platform is lost, the result is read back.
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
	// historyKey is the key of the object with the latest ships.
	historyKey = "config/history"
	// maxHistory is the maximum number of ships in the history.
	maxHistory = 500
	// maxTexts is the number of versions whose full text is kept.
	maxTexts = 10
	// maxAttempts limits the attempts to write an object or to confirm a write.
	maxAttempts = 8
	// retryInterval is the time between two attempts.
	retryInterval = 500 * time.Millisecond
)

// Entry is one ship in the history.
type Entry struct {
	Head    active.Head     `json:"head"`
	Changes []review.Change `json:"changes"`
}

// Active is the active configuration, as stored at the platform.
type Active struct {
	Head active.Head
	Text []byte
	// ObjectVersion is the version of the head object, 0 before the first ship.
	ObjectVersion uint64
}

// Read returns the active configuration from the platform, or a zero value
// before the first ship.
func Read(ctx context.Context, store *object.Client) (Active, error) {
	o, err := store.Get(ctx, active.HeadKey)
	if trace.IsNotFound(err) {
		return Active{}, nil
	}
	if err != nil {
		return Active{}, fmt.Errorf("read head: %w", err)
	}
	head, err := active.DecodeHead(o.Value)
	if err != nil {
		return Active{}, err
	}
	text, err := store.Get(ctx, active.TextKey(head.ShipID))
	if err != nil {
		return Active{}, fmt.Errorf("read configuration %d: %w", head.Version, err)
	}
	return Active{Head: head, Text: text.Value, ObjectVersion: o.Version}, nil
}

// Manifest parses the text. It returns an empty manifest with defaults before
// the first ship.
func (a Active) Manifest() (manifest.Manifest, error) {
	if a.ObjectVersion == 0 {
		return manifest.Manifest{}.Defaults(), nil
	}
	m, err := manifest.Parse(a.Text)
	if err != nil {
		return m, fmt.Errorf("parse active configuration %d: %w", a.Head.Version, err)
	}
	return m, nil
}

// Request is a manifest to ship.
type Request struct {
	Text []byte
	// Reviewed is the version that the operator compared the manifest with.
	Reviewed uint64
	// By is the name of the operator.
	By string
}

// Ship writes a manifest to the platform and makes it active.
//
// It returns trace.CompareFailed, with the name of the other operator, if the
// active version is not the reviewed one. Nothing was changed then, unless a later
// version replaced this one before it was confirmed. It returns
// object.ErrUncertain if the write could not be confirmed. If only the history
// could not be written, it returns the entry and an error.
func Ship(ctx context.Context, now time.Time, store *object.Client, r Request) (Entry, error) {
	next, err := manifest.Parse(r.Text)
	if err != nil {
		return Entry{}, fmt.Errorf("manifest: %w", err)
	}
	current, err := Read(ctx, store)
	if err != nil {
		return Entry{}, fmt.Errorf("read active configuration: %w", err)
	}
	if current.Head.Version != r.Reviewed {
		return Entry{}, errConflict(current.Head, r.Reviewed)
	}
	old, err := current.Manifest()
	if err != nil {
		return Entry{}, err
	}
	head := active.Head{
		Version: current.Head.Version + 1,
		ShipID:  uuid.NewString(),
		By:      r.By,
		At:      now.UTC().Truncate(time.Millisecond),
		Digest:  active.Digest(r.Text),
		Delta:   active.NewDelta(current.Text, r.Text),
	}
	if err := writeText(ctx, store, head, r.Text); err != nil {
		return Entry{}, err
	}
	if err := writeHead(ctx, store, head, current.ObjectVersion); err != nil {
		if trace.IsCompareFailed(err) {
			_ = store.Delete(ctx, active.TextKey(head.ShipID), 1)
		}
		return Entry{}, err
	}
	entry := Entry{Head: head, Changes: review.Compare(old, next)}
	entry.Head.Delta = nil
	if err := appendHistory(ctx, store, entry); err != nil {
		return entry, fmt.Errorf("version %d is active, but could not be added to the history: %w", head.Version, err)
	}
	deleteOldText(ctx, store, head.Version)
	return entry, nil
}

// deleteOldText deletes the text of the version that is maxTexts older. It ignores
// errors: a text that is left over only takes up space.
func deleteOldText(ctx context.Context, store *object.Client, version uint64) {
	entries, _, err := readHistory(ctx, store)
	if err != nil {
		return
	}
	for _, e := range entries {
		if e.Head.Version+maxTexts == version {
			_ = store.Delete(ctx, active.TextKey(e.Head.ShipID), 1)
		}
	}
}

// errConflict reports that head became active after the operator's review.
func errConflict(head active.Head, reviewed uint64) error {
	return trace.CompareFailed("version %d by %s, shipped at %s, is active, not the reviewed version %d: run diff again",
		head.Version, head.By, head.At.Format(time.RFC3339), reviewed)
}

// writeText writes the full text under the key of this ship. No other writer uses
// that key, so the write is repeated if a response is lost: a version conflict
// means that an earlier attempt took effect.
func writeText(ctx context.Context, store *object.Client, head active.Head, text []byte) error {
	var err error
	for range maxAttempts {
		_, err = store.Put(ctx, active.TextKey(head.ShipID), text, 0)
		if err == nil || trace.IsCompareFailed(err) {
			return nil
		}
		if !waitRetry(ctx) {
			break
		}
	}
	return fmt.Errorf("write text: %w", err)
}

// writeHead makes the version active. If the response is lost, or the write
// conflicts with another one, it reads the head back to see which ship won.
func writeHead(ctx context.Context, store *object.Client, head active.Head, objectVersion uint64) error {
	value, err := json.Marshal(head)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	_, err = store.Put(ctx, active.HeadKey, value, objectVersion)
	switch {
	case err == nil:
		return nil
	case trace.IsCompareFailed(err):
		return confirmHead(ctx, store, head, objectVersion)
	case errors.Is(err, object.ErrUncertain):
		return confirmHead(ctx, store, head, objectVersion)
	}
	return fmt.Errorf("write head: %w", err)
}

// confirmHead reads the head until it has a version above objectVersion, and checks
// that it is this ship's. It repeats the write while the head is unchanged.
func confirmHead(ctx context.Context, store *object.Client, head active.Head, objectVersion uint64) error {
	for range maxAttempts {
		o, err := store.Get(ctx, active.HeadKey)
		switch {
		case err == nil && o.Version > objectVersion:
			return checkHead(o.Value, head)
		case err == nil || (trace.IsNotFound(err) && objectVersion == 0):
			value, encodeErr := json.Marshal(head)
			if encodeErr != nil {
				return fmt.Errorf("encode head: %w", encodeErr)
			}
			if _, err := store.Put(ctx, active.HeadKey, value, objectVersion); err == nil {
				return nil
			}
		}
		if !waitRetry(ctx) {
			break
		}
	}
	return fmt.Errorf("version %d of ship %s: %w: check the status before shipping again", head.Version, head.ShipID, object.ErrUncertain)
}

// checkHead returns nil if the stored head is this ship's, and
// trace.CompareFailed if it is another's.
func checkHead(value []byte, head active.Head) error {
	found, err := active.DecodeHead(value)
	if err != nil {
		return err
	}
	if found.ShipID == head.ShipID {
		return nil
	}
	if found.Version > head.Version {
		return trace.CompareFailed("version %d by %s is active; the history shows whether version %d was active before it",
			found.Version, found.By, head.Version)
	}
	return errConflict(found, head.Version-1)
}

// waitRetry waits for retryInterval. It returns false if ctx ends first.
func waitRetry(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(retryInterval):
		return true
	}
}

// appendHistory adds a ship to the history. The write is conditional and is
// repeated, because other operators may write the history at the same time.
func appendHistory(ctx context.Context, store *object.Client, entry Entry) error {
	var err error
	for range maxAttempts {
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
		if !waitRetry(ctx) {
			break
		}
	}
	return err
}

// writeHistory writes the latest entries: at most maxHistory, and fewer if they
// take more than half of the maximum size of an object.
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

// readHistory returns the entries and the version of the history object.
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
		return nil, 0, trace.BadParameter("decode history object: %v", err)
	}
	return entries, o.Version, nil
}

// History returns the latest ships, the oldest first.
func History(ctx context.Context, store *object.Client) ([]Entry, error) {
	entries, _, err := readHistory(ctx, store)
	return entries, err
}
