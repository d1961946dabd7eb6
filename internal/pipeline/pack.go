package pipeline

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"

	"cherrywall/internal/tuning"
)

// Compress makes a plan small, to be kept.
func (p *Plan) Compress() ([]byte, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, gzip.BestCompression)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if _, err := z.Write(raw); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	if err := z.Close(); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return out.Bytes(), nil
}

// DecompressPlan reads a packed plan.
func DecompressPlan(packed []byte) (*Plan, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	raw, err := io.ReadAll(io.LimitReader(z, tuning.MaxPlanBytes))
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	var p Plan
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return &p, nil
}
