// Package cloud is a client of the API of the cloud that provides the machines.
package cloud

import (
	"errors"

	"cherrywall/internal/capacity"
)

// Errors that the client returns. Any other error means that the request could not be created.
var (
	// ErrNoCapacity means that the cloud currently has no machine of the requested type, zone and market
	// (spot or on-demand). The same request may be sent again.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the request has no usable response: the rate limit did not allow it in
	// time, the cloud did not answer, or the response reports a failure or can't be decoded. The cloud may
	// have executed the request nevertheless.
	ErrUnavailable = errors.New("cloud unavailable")
)

// The states of a machine, in Machine.Status.
const (
	StatusBooting = "booting"
	StatusRunning = "running"
	StatusFailed  = "failed" // the machine stopped by itself; it costs nothing and stays in the list until it is released
)

// MachineType is a machine type that the cloud offers. Prices are per hour.
type MachineType struct {
	Name            string   `json:"sku"`
	CPU             float64  `json:"vcpus"`
	GPU             float64  `json:"cards"`
	MemGB           float64  `json:"ramGb"`
	CacheGB         float64  `json:"cacheGb"`     // disk space for cached images
	FetchGBPerS     float64  `json:"fetchGbPerS"` // rate at which images are fetched
	HourlyPrice     float64  `json:"hourly"`
	SpotHourlyPrice float64  `json:"marketPrice"` // current price
	StartupS        float64  `json:"startupS"`    // usual boot time in seconds
	Zones           []string `json:"valleys"`
}

// Total returns all resources of a machine of the type.
func (t MachineType) Total() capacity.Resources {
	return capacity.Resources{CPU: t.CPU, GPU: t.GPU, MemGB: t.MemGB}
}

// Machine is a machine in the cloud's list.
type Machine struct {
	Host        string  `json:"ref"`
	Addr        string  `json:"addr"`
	MachineType string  `json:"build"`
	Zone        string  `json:"valley"`
	Spot        bool    `json:"loaners"`
	Status      string  `json:"status"`
	AgeS        float64 `json:"ageS"` // seconds from the request for the machine to the time that the list describes
}

// ScaleOutRequest requests machines.
type ScaleOutRequest struct {
	// IdempotencyKey identifies the request: a repeated request with the same key returns the same
	// machines. A key must never be used for another request, not even by another controller.
	IdempotencyKey string `json:"booking"`
	MachineType    string `json:"build"`
	Zone           string `json:"valley"`
	Spot           bool   `json:"loaners"`
	Count          int    `json:"howMany"`
}
