package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/peridotlock/peridotlock/fleet"
)

const (
	retryPause = 200 * time.Millisecond
	inForce    = "7s"
)

// operators calls the operators' client.
type operators struct {
	program Program
	servers []string
}

// call runs one command line and returns its output.
func (o *operators) call(ctx context.Context, args ...string) ([]byte, error) {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--server", strings.Join(o.servers, ","), "--output", "json"}, args...)
	if code := o.program(ctx, args, &stdout, &stderr); code != 0 {
		return stdout.Bytes(), fmt.Errorf("peridotctl %s: code %d: %s%s", strings.Join(args, " "), code, &stdout, &stderr)
	}
	return stdout.Bytes(), nil
}

// publish publishes the settings once a scheduler takes them.
func (o *operators) publish(ctx context.Context, file string) error {
	for {
		_, err := o.call(ctx, "settings", "publish", "--author", "demo", "--key", "demo-settings", "--wait", inForce, file)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return err
		}
	}
}

func (o *operators) takeOut(ctx context.Context, domain fleet.Path) error {
	_, err := o.call(ctx, "failure-domain", "take-out", "--author", "demo", string(domain))
	return err
}

func (o *operators) bringBack(ctx context.Context, domain fleet.Path) error {
	_, err := o.call(ctx, "failure-domain", "bring-back", "--author", "demo", string(domain))
	return err
}

// submission is what became of a submitted job.
type submission struct {
	Key     string `json:"key"`
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
}

func (o *operators) submit(ctx context.Context, key, file string) ([]submission, error) {
	out, err := o.call(ctx, "job", "submit", "--key", key, file)
	if err != nil {
		return nil, err
	}
	var list []submission
	if err := json.Unmarshal(out, &list); err != nil {
		return nil, fmt.Errorf("decode submissions: %w", err)
	}
	return list, nil
}

// jobState is the state of a job as operators are told it.
type jobState struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

func (o *operators) show(ctx context.Context, id string) (jobState, error) {
	var s jobState
	out, err := o.call(ctx, "job", "show", id)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(out, &s)
}
