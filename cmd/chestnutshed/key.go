package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"chestnutshed.example/chestnutshed/internal/config/manifest"
)

const keyUsage = `Generate an API key for an organisation.

Give the key to the organisation and put the digest into the manifest. The key
is printed once and is not stored.`

// keySize is the number of random bytes in a key.
const keySize = 32

type keyCommand struct {
	out io.Writer
	jsonOption
}

// keyResult is the JSON output of key.
type keyResult struct {
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// Execute implements flags.Commander.
func (c *keyCommand) Execute([]string) error {
	raw := make([]byte, keySize)
	if _, err := rand.Read(raw); err != nil {
		return fmt.Errorf("generate key: %w", err)
	}
	key := base64.RawURLEncoding.EncodeToString(raw)
	k := keyResult{key, manifest.Digest(key)}
	return c.print(c.out, k, fmt.Sprintf("key:    %s\ndigest: %s\n", k.Key, k.Digest))
}
