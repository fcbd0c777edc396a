package load

import (
	"fmt"
	"io"
	"time"
)

// WriteHeader writes the head of the table of rows, in Markdown.
func WriteHeader(w io.Writer) {
	fmt.Fprintln(w, "| load or fault | entry | offered/s | goodput/s | p50 ms | p99 ms | p99.9 ms | refused | refusal p99 ms | open | aborted | passed | extra attempts | link B | CPU µs | violations |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// Write writes the row in Markdown. Extra attempts, link bytes and processor
// time are per request; the latter includes callers and endpoints.
func (r Row) Write(w io.Writer) {
	x := r.Result
	fmt.Fprintf(w, "| %s | %s | %.0f | %.0f | %s | %s | %s | %d | %s | %d | %d | %d | %.4f | %.0f | %d | %d |\n",
		r.Name, r.Kind, r.Rate, x.Goodput(), millis(x.Latency(50)), millis(x.Latency(99)), millis(x.Latency(99.9)),
		x.Verdicts[NotRun], millis(x.Refusal(99)), x.Verdicts[Undetermined], x.Verdicts[Aborted], x.Verdicts[EndpointError],
		r.Retries, r.LinkBytes, r.CPU.Microseconds(), x.Violations())
	for _, example := range x.Examples {
		fmt.Fprintf(w, "  %s\n", example)
	}
}

// WriteOverheadHeader writes the head of the table of overheads, in Markdown.
func WriteOverheadHeader(w io.Writer) {
	fmt.Fprintln(w, "| entry | rate/s | latency p50 ms | p99 ms | p99.9 ms | beyond the endpoint's time p50 ms | p99 ms | p99.9 ms | extra attempts | CPU µs |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
}

// WriteOverhead writes the latency, and that beyond the endpoint's own time,
// in which the delay of a hedge counts.
func (r Row) WriteOverhead(w io.Writer) {
	x := r.Result
	fmt.Fprintf(w, "| %s | %.0f | %s | %s | %s | %s | %s | %s | %.4f | %d |\n", r.Kind, r.Rate,
		millis(x.Latency(50)), millis(x.Latency(99)), millis(x.Latency(99.9)),
		millis(x.Overhead(50)), millis(x.Overhead(99)), millis(x.Overhead(99.9)), r.Retries, r.CPU.Microseconds())
}

func millis(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()*1000) }

// Violations returns the number over all rows of one kind.
func Violations(rows []Row, kind Kind) int {
	n := 0
	for _, r := range rows {
		if r.Kind == kind {
			n += r.Result.Violations()
		}
	}
	return n
}
