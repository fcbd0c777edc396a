package job

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/finding"
)

// Keys with special treatment in fileReader and specDecoder.
const (
	keyJobs        = "jobs"
	keySize        = "size"
	keyIdempotency = "idempotency-key"
)

// fileReader collects the jobs and findings of one file.
type fileReader struct {
	file     string
	findings finding.List
	jobs     []Spec
}

// ParseFile parses a YAML file with a list of jobs under the key "jobs". The error
// is a finding.List that reports all violations in the file.
func ParseFile(file string, data []byte) ([]Spec, error) {
	root, found := finding.ParseYAML(file, string(data))
	if len(found) > 0 {
		return nil, found
	}
	r := &fileReader{file: file}
	r.readRoot(root)
	if err := r.findings.Sort().Err(); err != nil {
		return nil, err
	}
	return r.jobs, nil
}

func (r *fileReader) addf(path string, n *yaml.Node, format string, args ...any) {
	if len(r.findings) >= finding.MaxFindings {
		return
	}
	message := fmt.Sprintf(format, args...)
	r.findings = append(r.findings, finding.Finding{File: r.file, Line: n.Line, Column: n.Column, Path: path, Message: message})
}

func (r *fileReader) readRoot(n *yaml.Node) {
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
			r.addf(keyJobs, k, "duplicate key")
		default:
			list = n.Content[i+1]
		}
	}
	if list == nil || list.Kind != yaml.SequenceNode || len(list.Content) == 0 {
		r.addf(keyJobs, n, "must be a list of at least one job")
		return
	}
	r.readJobs(list)
}

func (r *fileReader) readJobs(n *yaml.Node) {
	keys := map[string]bool{}
	for i, item := range n.Content {
		path := fmt.Sprintf("jobs[%d]", i)
		if item.Kind != yaml.MappingNode {
			r.addf(path, item, "a job must be a mapping")
			continue
		}
		d := newSpecDecoder(r, path)
		d.decodeMapping("", item)
		d.check(item)
		s := d.spec
		if s.IdempotencyKey != "" && keys[s.IdempotencyKey] {
			d.addf(keyIdempotency, d.nodes[keyIdempotency], "%q is also the key of an earlier job", s.IdempotencyKey)
		}
		keys[s.IdempotencyKey] = true
		r.jobs = append(r.jobs, *s)
	}
}
