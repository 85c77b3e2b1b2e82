package main

import (
	"net/http"
	"time"
)

// Bounds, as in the settings of the users' small deployments.
const (
	boundConfig = 2000 * time.Millisecond // config_ms
	boundDrain  = 2000 * time.Millisecond // drain_ms
	boundGrace  = 6 * time.Second         // grace_s
)

// What all configs of the cases have in common.
const (
	vhost      = "plots.example"
	key        = "6wsjnbanfqasnmgkcuyj"
	tenantName = "farm"
)

var zones = []string{"sudur-a", "sudur-b", "sudur-c"}

// fixed returns the work of a backend all of whose requests last equally long.
func fixed(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}
