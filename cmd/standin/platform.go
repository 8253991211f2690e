package main

import (
	"fmt"
	"net/http"
	"time"

	"chestnutshed.example/chestnutshed/internal/standin/platform"
)

const platformUsage = `Play the platform's object API, in memory.

Faults are switched by PUT /faults with {"outage": true, "slow": 200, "lose": 1}:
cut all calls, delay answers by milliseconds, lose the answers of the next
writes after they took effect. GET /counts tells the calls received.`

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
