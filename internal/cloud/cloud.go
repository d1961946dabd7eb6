// Package cloud is the client of the cloud that provides the machines.
package cloud

import (
	"errors"

	"cherrywall/internal/capacity"
)

// Errors of the cloud. Any other error means that the request could not be made.
var (
	// ErrNoCapacity means that the cloud has no machine now of the requested type, zone and market (spot
	// or on-demand). The same request may be sent again.
	ErrNoCapacity = errors.New("no capacity")
	// ErrUnavailable means that the cloud did not answer or could not serve. The request may have been
	// executed all the same.
	ErrUnavailable = errors.New("cloud unavailable")
)

// The states of a machine, in Machine.Status.
const (
	StatusBooting = "booting"
	StatusRunning = "running"
	StatusFailed  = "failed" // it stopped on its own, costs nothing and stays listed until it is released
)

// MachineType is a machine type on offer. Prices are per hour.
type MachineType struct {
	Name            string   `json:"sku"`
	CPU             float64  `json:"vcpus"`
	GPU             float64  `json:"cards"`
	MemGB           float64  `json:"ramGb"`
	CacheGB         float64  `json:"cacheGb"`     // disk for images
	FetchGBPerS     float64  `json:"fetchGbPerS"` // how fast images are fetched
	HourlyPrice     float64  `json:"hourly"`
	SpotHourlyPrice float64  `json:"marketPrice"` // the current one
	StartupS        float64  `json:"startupS"`    // the usual boot time in seconds
	Zones           []string `json:"valleys"`
}

// Total returns the resources of a machine of the type.
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
	AgeS        float64 `json:"ageS"` // seconds since it was requested, at the time that the list describes
}

// ScaleOutRequest requests machines.
type ScaleOutRequest struct {
	// IdempotencyKey names the request: repeated with the same key it returns the same machines. A key
	// must never be used for another request, not even by another controller.
	IdempotencyKey string `json:"booking"`
	MachineType    string `json:"build"`
	Zone           string `json:"valley"`
	Spot           bool   `json:"loaners"`
	Count          int    `json:"howMany"`
}
