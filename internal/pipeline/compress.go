package pipeline

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"cherrywall/internal/jobs"
	"cherrywall/internal/tuning"
)

// Compress returns the plan in its stored form: JSON compressed by gzip.
func (p *Plan) Compress() ([]byte, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if _, err := writer.Write(raw); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return compressed.Bytes(), nil
}

// DecompressPlan reads a plan in its stored form. It reads at most tuning.MaxPlanBytes of JSON and
// returns an error for a longer plan, so that a damaged record can't exhaust the memory.
func DecompressPlan(compressed []byte) (*Plan, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(reader, tuning.MaxPlanBytes))
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	var plan Plan
	if err := json.Unmarshal(raw, &plan); err != nil {
		return nil, fmt.Errorf("plan: %w", jobs.DescribeDecodeError(err))
	}
	return &plan, nil
}
