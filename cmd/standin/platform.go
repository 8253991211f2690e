package main

import (
	"fmt"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/platform"
)

const platformUsage = `Simulate the platform's object API, in memory.

Set faults by PUT /faults with {"outage": true, "slow": 200, "lose": 1}: outage
fails all calls, slow delays them by that many milliseconds, and lose drops the
responses of that many next writes, which still take effect. GET /counts returns
the numbers of calls received.`

type platformCommand struct {
	Address string `long:"address" default:"127.0.0.1:7100" description:"address to listen on"`
}

// Execute implements flags.Commander.
func (c *platformCommand) Execute([]string) error {
	server := &http.Server{
		Addr:              c.Address,
		Handler:           platform.New().Handler(),
		ReadHeaderTimeout: 5 * time.Second,
	}
	if err := server.ListenAndServe(); err != nil {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
