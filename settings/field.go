package settings

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

// values holds the effective values of the fields for one branch.
type values struct {
	policy Policy
	quota  fleet.Resources
	weight float64
	log    LogPolicy
	nodes  NodePolicy
}

func defaultValues() values {
	return values{policy: DefaultPolicy(), weight: 1, log: DefaultLogPolicy(), nodes: DefaultNodePolicy()}
}

// field describes one scalar setting.
type field struct {
	key     string // such as "policy.tasks.lease"
	kinds   []Kind
	parse   func(text string) (any, error)
	apply   func(v *values, parsed any) // nil if the value isn't inherited
	format  func(v values) string       // nil if there is no default
	allowed string                      // allowed values, for operators
}

var errNotBool = errors.New("must be true or false")

func durationField(key string, kinds []Kind, low, high time.Duration, target func(*values) *time.Duration) field {
	parse := func(text string) (any, error) {
		d, err := time.ParseDuration(text)
		if err != nil {
			return nil, fmt.Errorf("%q is not a duration such as 1.5s", text)
		}
		if d < low || d > high {
			return nil, fmt.Errorf("%v is not between %v and %v", d, low, high)
		}
		return d, nil
	}
	apply := func(v *values, parsed any) { *target(v) = parsed.(time.Duration) }
	return field{key: key, kinds: kinds, parse: parse, apply: apply, format: formatterOf(target), allowed: bounds(low, high)}
}

func integerField[T int | int64](key string, kinds []Kind, low, high T, target func(*values) *T) field {
	parse := func(text string) (any, error) {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("%q is not a whole number", text)
		}
		if n < int64(low) || n > int64(high) {
			return nil, fmt.Errorf("%d is not between %d and %d", n, low, high)
		}
		return T(n), nil
	}
	apply := func(v *values, parsed any) { *target(v) = parsed.(T) }
	return field{key: key, kinds: kinds, parse: parse, apply: apply, format: formatterOf(target), allowed: bounds(low, high)}
}

func numberField(key string, kinds []Kind, low, high float64, target func(*values) *float64) field {
	parse := func(text string) (any, error) {
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(f) {
			return nil, fmt.Errorf("%q is not a number", text)
		}
		if f < low || f > high {
			return nil, fmt.Errorf("%v is not between %v and %v", f, low, high)
		}
		return f, nil
	}
	apply := func(v *values, parsed any) { *target(v) = parsed.(float64) }
	return field{key: key, kinds: kinds, parse: parse, apply: apply, format: formatterOf(target), allowed: bounds(low, high)}
}

func bounds(low, high any) string { return fmt.Sprintf("%v to %v", low, high) }

// formatterOf returns a function that formats the field that target points to.
func formatterOf[T any](target func(*values) *T) func(values) string {
	return func(v values) string { return fmt.Sprint(*target(&v)) }
}

func parseBool(text string) (any, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return nil, errNotBool
}

func parseKind(text string) (any, error) {
	if k := Kind(text); k.isKnown() {
		return k, nil
	}
	return nil, fmt.Errorf("unknown kind %q", text)
}
