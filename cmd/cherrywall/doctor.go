package main

import (
	"context"
	"fmt"
	"net/http"

	"cherrywall/internal/apiclient"
	"cherrywall/internal/diagnostics"
	"cherrywall/internal/tuning"
)

type doctorCmd struct {
	controllerFlags
	JSON bool `help:"Print JSON."`
}

// Run prints the findings of every given controller, since a controller has complete knowledge
// only of its own machines and connections. The exit status is exitFailed if there is any
// finding.
func (c doctorCmd) Run(ctx context.Context) error {
	findings := map[string][]diagnostics.Finding{}
	hasFindings := false
	for _, address := range c.Addr {
		findings[address] = fetchFindings(ctx, address)
		hasFindings = hasFindings || len(findings[address]) > 0
	}
	if c.JSON {
		if err := printJSON(findings); err != nil {
			return err
		}
	} else {
		c.print(findings)
	}
	if hasFindings {
		return &exitError{exitFailed}
	}
	return nil
}

// fetchFindings returns the findings of a controller. A failure to reach the controller is returned as
// a finding, too.
func fetchFindings(ctx context.Context, address string) []diagnostics.Finding {
	ctx, cancel := context.WithTimeout(ctx, tuning.CLIRequestTimeout)
	defer cancel()
	var findings []diagnostics.Finding
	if _, err := apiclient.New(address).Call(ctx, http.MethodGet, "/admin/v1/doctor", nil, &findings); err != nil {
		return []diagnostics.Finding{{Problem: err.Error(), Action: "see whether the controller runs"}}
	}
	return findings
}

// print prints the findings of the controllers in the order in which their addresses were given.
func (c doctorCmd) print(findings map[string][]diagnostics.Finding) {
	actionCount := 0
	for _, address := range c.Addr {
		for _, finding := range findings[address] {
			fmt.Printf("%s: %s\n", address, finding.Problem)
			if finding.Action != "" {
				fmt.Printf("    to do: %s\n", finding.Action)
				actionCount++
			}
		}
	}
	fmt.Printf("%d controllers checked, %d findings that need action\n", len(c.Addr), actionCount)
}
