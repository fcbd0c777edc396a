package job

import (
	"errors"
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/finding"
)

// The keys that the reader treats apart.
const (
	keyJobs        = "jobs"
	keySize        = "size"
	keyIdempotency = "idempotency-key"
)

// fileReader collects the jobs and findings of one file.
type fileReader struct {
	file  string
	found finding.List
	jobs  []Spec
}

// ParseFile reads the jobs in a file, which holds a list under the key "jobs".
// The error is a finding.List with everything that is wrong.
func ParseFile(file string, data []byte) ([]Spec, error) {
	root, found := finding.ParseYAML(file, string(data))
	if len(found) > 0 {
		return nil, found
	}
	r := &fileReader{file: file}
	r.root(root)
	if err := r.found.Sort().Err(); err != nil {
		return nil, err
	}
	return r.jobs, nil
}

func (r *fileReader) addf(path string, n *yaml.Node, format string, args ...any) {
	if len(r.found) >= finding.MaxFindings {
		return
	}
	message := fmt.Sprintf(format, args...)
	r.found = append(r.found, finding.Finding{File: r.file, Line: n.Line, Column: n.Column, Path: path, Message: message})
}

func (r *fileReader) root(n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		r.addf("", n, "must be a mapping with the key jobs")
		return
	}
	var list *yaml.Node
	for i := 0; i+1 < len(n.Content); i += 2 {
		k := n.Content[i]
		switch {
		case k.Value != keyJobs:
			r.addf(k.Value, k, "unknown key")
		case list != nil:
			r.addf(keyJobs, k, "stands twice")
		default:
			list = n.Content[i+1]
		}
	}
	if list == nil || list.Kind != yaml.SequenceNode || len(list.Content) == 0 {
		r.addf(keyJobs, n, "must be a list of at least one job")
		return
	}
	r.list(list)
}

func (r *fileReader) list(n *yaml.Node) {
	keys := map[string]bool{}
	for i, item := range n.Content {
		path := fmt.Sprintf("jobs[%d]", i)
		if item.Kind != yaml.MappingNode {
			r.addf(path, item, "a job must be a mapping")
			continue
		}
		s, places := r.spec(path, item)
		if s.IdempotencyKey != "" && keys[s.IdempotencyKey] {
			r.addf(path+"."+keyIdempotency, places[keyIdempotency], "%q stands twice", s.IdempotencyKey)
		}
		keys[s.IdempotencyKey] = true
		r.jobs = append(r.jobs, s)
	}
}

// spec decodes one job member by member, so that one fault hides no other, and
// returns where the members stand.
func (r *fileReader) spec(path string, n *yaml.Node) (Spec, map[string]*yaml.Node) {
	var s Spec
	places := map[string]*yaml.Node{}
	members := s.members()
	broken := map[string]bool{}
	r.mapping(path, "", n, func(key string, k, v *yaml.Node) {
		places[key] = v
		target, ok := members[key]
		switch {
		case key == keySize && v.Kind == yaml.MappingNode:
			r.mapping(path, keySize+".", v, func(key string, k, v *yaml.Node) {
				places[key] = v
				broken[key] = !r.decode(path, key, k, v, members[key])
			})
		case !ok:
			r.addf(path+"."+key, k, "unknown key")
		default:
			broken[key] = !r.decode(path, key, k, v, target)
		}
	})
	for _, f := range s.Check() {
		if broken[f.Key] {
			continue
		}
		at, ok := places[f.Key]
		if !ok {
			at = n
		}
		r.addf(path+"."+f.Key, at, "%s", f.Message)
	}
	return s, places
}

// members returns the targets of the keys of a job file.
func (s *Spec) members() map[string]any {
	return map[string]any{
		"name":              &s.Name,
		"team":              &s.Team,
		"kind":              &s.Kind,
		"class":             &s.Class,
		"count":             &s.Count,
		"size.milli-cpu":    &s.Size.MilliCPU,
		"size.memory-mb":    &s.Size.MemoryMB,
		"size.accelerators": &s.Size.Accelerators,
		"run-time":          &s.RunTime,
		"deadline":          &s.Deadline,
		"urgent":            &s.Urgent,
		"failure-domains":   &s.FailureDomains,
		"idempotency-key":   &s.IdempotencyKey,
	}
}

func (r *fileReader) mapping(path, prefix string, n *yaml.Node, each func(key string, k, v *yaml.Node)) {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		key := prefix + k.Value
		if seen[key] {
			r.addf(path+"."+key, k, "stands twice")
			continue
		}
		seen[key] = true
		each(key, k, v)
	}
}

// decode reports whether v could be read into target.
func (r *fileReader) decode(path, key string, k, v *yaml.Node, target any) bool {
	if target == nil {
		r.addf(path+"."+key, k, "unknown key")
		return false
	}
	if err := v.Decode(target); err != nil {
		r.addf(path+"."+key, v, "%s", yamlMessage(err))
		return false
	}
	return true
}

// yamlMessage returns the library's message without its line, which the
// finding carries itself.
func yamlMessage(err error) string {
	var typed *yaml.TypeError
	if errors.As(err, &typed) && len(typed.Errors) > 0 {
		_, message, _ := strings.Cut(typed.Errors[0], ": ")
		return message
	}
	return err.Error()
}
