package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
)

// metrics returns the sum over all VMs of each metric whose name begins with a prefix.
func (s *cluster) metrics(client *http.Client, prefix string) (map[string]float64, error) {
	sums := map[string]float64{}
	for _, v := range s.vms {
		response, err := client.Get("http://" + v.operators + "/metrics")
		if err != nil {
			return nil, err
		}
		text, err := io.ReadAll(response.Body)
		response.Body.Close()
		if err != nil {
			return nil, err
		}
		if err := addMetrics(sums, string(text), prefix); err != nil {
			return nil, fmt.Errorf("metrics of %s: %w", v.name, err)
		}
	}
	return sums, nil
}

func addMetrics(sums map[string]float64, text, prefix string) error {
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		space := strings.LastIndexByte(line, ' ') // a label may have spaces
		if space < 0 || !strings.HasPrefix(line, prefix) {
			continue
		}
		name := line[:space]
		number, err := strconv.ParseFloat(line[space+1:], 64)
		if err != nil {
			return fmt.Errorf("metric %s: %w", name, err)
		}
		sums[name] += number
	}
	return nil
}

// reservationFault compares what owners have reserved with the mCPU that executors run. It
// returns "" if both are the same and each reservation is of a run that its executor reports.
func reservationFault(sums map[string]float64, running float64) string {
	reserved := 0.0
	for name, value := range sums {
		switch {
		case strings.HasPrefix(name, "peridotlock_reserved_millicpu{"):
			reserved += value
		case strings.HasPrefix(name, "peridotlock_reserved_unreported_m") && value != 0:
			return fmt.Sprintf("%s is %v", name, value)
		case strings.HasPrefix(name, "peridotlock_reported_unreserved_m") && value != 0:
			return fmt.Sprintf("%s is %v", name, value)
		}
	}
	if reserved != running {
		return fmt.Sprintf("%v mCPU are reserved, executors run %v", reserved, running)
	}
	return ""
}

// checkReservations reports reservations that stay without a run after the faults, and
// those that were kept beyond the time within which a report settles them.
func (s *cluster) checkReservations(t *testing.T, c *callers) {
	fault := ""
	if !eventually(runsTimeout, func() bool {
		sums, err := s.metrics(c.client, "peridotlock_re")
		if err != nil {
			fault = err.Error()
			return false
		}
		running := 0
		for _, w := range c.submissions {
			running += s.ledger.RunningCount(w.id)
		}
		fault = reservationFault(sums, float64(running*taskMilliCPU))
		return fault == ""
	}) {
		t.Errorf("reservations after %v: %s", runsTimeout, fault)
	}
	for _, v := range s.vms {
		log, err := os.ReadFile(v.log)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, line := range unreportedLines(string(log)) {
			t.Errorf("%s: %s", v.name, line)
		}
	}
}

// unreportedLines returns the lines about reservations that no report lists for too long.
func unreportedLines(log string) []string {
	var lines []string
	for line := range strings.Lines(log) {
		if strings.Contains(line, "msg=unreported ") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// TestReservationFault shows that the check of the soak test sees the faults that it is for.
func TestReservationFault(t *testing.T) {
	const reserved = `peridotlock_reserved_millicpu{kind="batch"} 300
peridotlock_reserved_millicpu{kind="long_running"} 600
peridotlock_reserved_unreported_millicpu{state="starting"} 0
peridotlock_reported_unreserved_millicpu 0
peridotlock_requests_total{status="Service Unavailable"} 7
`
	for _, test := range []struct {
		name, text string
		running    float64
		fault      string
	}{
		{"each reservation has a run", reserved, 900, ""},
		{"a run is never removed", reserved, 600, "900 mCPU are reserved, executors run 600"},
		{"a run has no reservation", reserved, 1200, "900 mCPU are reserved, executors run 1200"},
		{"a reservation is not reported", reserved + `peridotlock_reserved_unreported_millicpu{state="restored"} 300` + "\n", 900,
			`peridotlock_reserved_unreported_millicpu{state="restored"} is 300`},
		{"a best-effort reservation is not reported", reserved + `peridotlock_reserved_unreported_mb{state="starting"} 50` + "\n", 900,
			`peridotlock_reserved_unreported_mb{state="starting"} is 50`},
		{"a stray run goes on", reserved + "peridotlock_reported_unreserved_mb 50\n", 900, "peridotlock_reported_unreserved_mb is 50"},
		{"no metrics", "", 900, "0 mCPU are reserved, executors run 900"},
	} {
		t.Run(test.name, func(t *testing.T) {
			sums := map[string]float64{}
			if err := addMetrics(sums, test.text, "peridotlock_re"); err != nil {
				t.Fatal(err)
			}
			if fault := reservationFault(sums, test.running); fault != test.fault {
				t.Errorf("fault %q, want %q", fault, test.fault)
			}
		})
	}
	if lines := unreportedLines("level=INFO msg=start task=a\nlevel=INFO msg=unreported task=a run=1\n"); len(lines) != 1 {
		t.Errorf("%d lines, want 1: %q", len(lines), lines)
	}
}
