package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
)

const keyUsage = `Make a key for an organisation.

The key goes to the organisation and is shown once; the digest goes into the
manifest. Keys are stored nowhere.`

// keySize is the length of a key, in random bytes.
const keySize = 32

type keyCommand struct {
	out io.Writer
	jsonOption
}

// madeKey is a key and its digest as JSON.
type madeKey struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	raw := make([]byte, keySize)
	if _, err := rand.Read(raw); err != nil {
		return fmt.Errorf("make key: %w", err)
	}
	key := base64.RawURLEncoding.EncodeToString(raw)
	k := madeKey{key, manifest.Digest(key)}
	return c.print(c.out, k, fmt.Sprintf("key:    %s\ndigest: %s\n", k.Key, k.Digest))
}
