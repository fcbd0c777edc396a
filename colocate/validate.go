package colocate

import "fmt"

// Limits of valid Statistics, exact in 32 bits. A model keeps to them in what it
// publishes.
const (
	maxImages      = 64      // best-effort images, and serving images, of a model; bounds the time of a fit and the size of Statistics
	maxMean        = 1e6     // absolute value, of an estimate
	maxInformation = 1e9     // of an estimate
	maxPeriodError = 1e10    // of PeriodStatistics
	maxReadingSum  = 1 << 40 // of ServingStatistics
	maxPeers       = 128     // models whose statistics a model uses
)

// Validate returns an error if a figure is not finite or out of its range, an image
// is named twice, an estimate does not name an image, or there are too many images.
func (s Statistics) Validate() error {
	if len(s.BestEffort) > maxImages || len(s.Serving) > maxImages {
		return fmt.Errorf("%d best-effort and %d serving images, at most %d are allowed", len(s.BestEffort), len(s.Serving), maxImages)
	}
	names := make(map[string]bool, len(s.BestEffort))
	for _, name := range s.BestEffort {
		if names[name] {
			return fmt.Errorf("best-effort image %q appears twice", name)
		}
		names[name] = true
	}
	for name, image := range s.Serving {
		if err := image.validate(len(s.BestEffort)); err != nil {
			return fmt.Errorf("serving image %q: %w", name, err)
		}
	}
	if s.Spread != 0 && !inRange(s.Spread, minSpread, maxSpread) {
		return fmt.Errorf("spread %v, want %v to %v", s.Spread, minSpread, maxSpread)
	}
	return s.Periods.validate()
}

func (s ServingStatistics) validate(rows int) error {
	if !inRange(s.UnloadedTail, minTail, maxTail) {
		return fmt.Errorf("unloaded tail %v, want %v to %v", s.UnloadedTail, minTail, maxTail)
	}
	if s.Readings < 0 || s.Readings > maxReadingSum {
		return fmt.Errorf("%d readings, want 0 to %d", s.Readings, maxReadingSum)
	}
	if s.Base.Row != 0 {
		return fmt.Errorf("base with row %d, want 0", s.Base.Row)
	}
	if err := s.Base.validate(); err != nil {
		return fmt.Errorf("base: %w", err)
	}
	used := make([]bool, rows)
	for _, e := range s.Effects {
		if e.Row < 0 || e.Row >= rows {
			return fmt.Errorf("effect with row %d of %d", e.Row, rows)
		}
		if used[e.Row] {
			return fmt.Errorf("two effects with row %d", e.Row)
		}
		used[e.Row] = true
		if err := e.validate(); err != nil {
			return fmt.Errorf("effect with row %d: %w", e.Row, err)
		}
	}
	return nil
}

func (e Estimate) validate() error {
	if !inRange(float64(e.Mean), -maxMean, maxMean) {
		return fmt.Errorf("mean %v, want %v to %v", e.Mean, -maxMean, maxMean)
	}
	if !inRange(float64(e.Information), 0, maxInformation) {
		return fmt.Errorf("information %v, want 0 to %v", e.Information, maxInformation)
	}
	return nil
}

func (s PeriodStatistics) validate() error {
	if !inRange(float64(s.Constant), 0, maxPeriodError) {
		return fmt.Errorf("error of a constant load %v, want 0 to %v", s.Constant, maxPeriodError)
	}
	for _, v := range s.Seasonal {
		if !inRange(float64(v), 0, maxPeriodError) {
			return fmt.Errorf("error of a seasonal load %v, want 0 to %v", v, maxPeriodError)
		}
	}
	return nil
}

// inRange reports whether low <= v <= high, which NaN is not.
func inRange(v, low, high float64) bool { return v >= low && v <= high }
