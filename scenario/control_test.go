package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlock/peridotlock/platform"
	"github.com/peridotlock/peridotlock/standin"
	"github.com/peridotlock/peridotlock/standin/fault"
)

// maxListed bounds the items of the ledger that a failure tells.
const maxListed = 5

// none is the state in scripts of a VM that is gone.
const none = "gone"

// setFault replaces the fault of a target: fault TARGET JSON.
func setFault(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage(`fault TARGET '{"outage":true}'`)
	}
	var f fault.Fault
	dec := json.NewDecoder(strings.NewReader(args[1]))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return err
	}
	return post(controlURL(ts, "faults"), standin.FaultRequest{Target: args[0], Fault: f})
}

// setVM changes a VM's state in the list: vm ID live|leaving|gone.
func setVM(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("vm ID live|leaving|gone")
	}
	state := platform.VMState(args[1])
	if args[1] == none {
		state = ""
	}
	return post(controlURL(ts, "vms"), standin.VMRequest{ID: args[0], State: state})
}

// trim makes the log forget the records of a stream: trim STREAM BEFORE.
func trim(ts *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("trim STREAM BEFORE")
	}
	before, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return err
	}
	return post(controlURL(ts, "trim"), standin.TrimRequest{Stream: args[0], Before: platform.Offset(before)})
}

// checkLedger compares a number of the ledger's summary: ledger PATH OP NUMBER,
// such as "ledger outcomes.finished >= 3". With a trailing QUERY it counts the
// runs or executions that the query selects: "ledger runs == 0 running=true".
func checkLedger(ts *testscript.TestScript, args []string) error {
	if len(args) != 3 && len(args) != 4 {
		return usage("ledger PATH OP NUMBER [QUERY]")
	}
	want, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return err
	}
	got, detail, err := ledgerNumber(ts, args[0], args[3:])
	if err != nil {
		return err
	}
	if !compare(got, args[1], want) {
		return fmt.Errorf("ledger: %s is %v, not %s %v: %s", args[0], got, args[1], want, detail)
	}
	return nil
}

func ledgerNumber(ts *testscript.TestScript, path string, query []string) (float64, string, error) {
	if len(query) > 0 {
		var list []json.RawMessage
		err := get(controlURL(ts, "ledger/"+path+"?"+query[0]), &list)
		return float64(len(list)), fmt.Sprintf("%s", list[:min(len(list), maxListed)]), err
	}
	var summary any
	if err := get(controlURL(ts, "ledger"), &summary); err != nil {
		return 0, "", err
	}
	detail, err := json.Marshal(summary)
	return numberAt(summary, path), string(detail), err
}

// numberAt returns the number, or the length, at a path; what is absent is 0.
func numberAt(value any, path string) float64 {
	for name := range strings.SplitSeq(path, ".") {
		members, _ := value.(map[string]any)
		value = members[name]
	}
	switch v := value.(type) {
	case float64:
		return v
	case []any:
		return float64(len(v))
	}
	return 0
}

func compare(got float64, op string, want float64) bool {
	switch op {
	case "==":
		return got == want
	case ">=":
		return got >= want
	case "<=":
		return got <= want
	}
	return false
}

// checkStatus gets a URL and compares the status: status CODE URL.
func checkStatus(_ *testscript.TestScript, args []string) error {
	if len(args) != 2 {
		return usage("status CODE URL")
	}
	resp, err := httpClient.Get(args[1])
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if strconv.Itoa(resp.StatusCode) != args[0] {
		return fmt.Errorf("status of %s is %s", args[1], resp.Status)
	}
	return nil
}

// remember sets a variable to the time of now: remember NAME [LATER].
func remember(ts *testscript.TestScript, args []string) error {
	if len(args) != 1 && len(args) != 2 {
		return usage("remember NAME [LATER]")
	}
	at := time.Now()
	if len(args) == 2 {
		later, err := time.ParseDuration(args[1])
		if err != nil {
			return err
		}
		at = at.Add(later)
	}
	ts.Setenv(args[0], at.UTC().Format(time.RFC3339Nano))
	return nil
}

func controlURL(ts *testscript.TestScript, name string) string {
	return "http://" + ts.Getenv("CONTROL") + "/control/" + name
}

func post(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := httpClient.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	return read(resp, nil)
}

func get(url string, out any) error {
	resp, err := httpClient.Get(url)
	if err != nil {
		return err
	}
	return read(resp, out)
}

func read(resp *http.Response, out any) error {
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s: %s", resp.Request.URL, resp.Status, data)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}
