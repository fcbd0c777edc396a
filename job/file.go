package job

import (
	"fmt"

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
		d := newSpecDecoder(r, path)
		d.mapping("", item)
		d.check(item)
		s := d.spec
		if s.IdempotencyKey != "" && keys[s.IdempotencyKey] {
			d.addf(keyIdempotency, d.places[keyIdempotency], "%q stands twice", s.IdempotencyKey)
		}
		keys[s.IdempotencyKey] = true
		r.jobs = append(r.jobs, *s)
	}
}
