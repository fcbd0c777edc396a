package job

import (
	"errors"
	"strings"

	"go.yaml.in/yaml/v3"
)

// specDecoder reads one job of a file member by member, so that one fault hides
// no other.
type specDecoder struct {
	reader  *fileReader
	path    string // such as "jobs[0]"
	spec    *Spec
	members map[string]any        // targets by key
	places  map[string]*yaml.Node // where the values stand
	broken  map[string]bool       // keys whose value could not be read
}

func newSpecDecoder(r *fileReader, path string) *specDecoder {
	s := &Spec{}
	return &specDecoder{
		reader:  r,
		path:    path,
		spec:    s,
		members: s.members(),
		places:  map[string]*yaml.Node{},
		broken:  map[string]bool{},
	}
}

func (d *specDecoder) addf(key string, n *yaml.Node, format string, args ...any) {
	d.reader.addf(d.path+"."+key, n, format, args...)
}

// mapping reads the keys of n below prefix, such as "size.".
func (d *specDecoder) mapping(prefix string, n *yaml.Node) {
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		key := prefix + k.Value
		if _, seen := d.places[key]; seen {
			d.addf(key, k, "stands twice")
			continue
		}
		d.places[key] = v
		d.member(key, k, v)
	}
}

func (d *specDecoder) member(key string, k, v *yaml.Node) {
	if key == keySize {
		d.size(v)
		return
	}
	target, ok := d.members[key]
	if !ok {
		d.addf(key, k, "unknown key")
		return
	}
	if err := v.Decode(target); err != nil {
		d.broken[key] = true
		d.addf(key, v, "%s", yamlMessage(err))
	}
}

func (d *specDecoder) size(v *yaml.Node) {
	if v.Kind != yaml.MappingNode {
		d.addf(keySize, v, "must be a mapping")
		return
	}
	d.mapping(keySize+".", v)
}

// check adds the faults of the job as a whole; a member that is missing is
// reported at the job.
func (d *specDecoder) check(job *yaml.Node) {
	for _, f := range d.spec.Check() {
		if d.broken[f.Key] {
			continue
		}
		at, ok := d.places[f.Key]
		if !ok {
			at = job
		}
		d.addf(f.Key, at, "%s", f.Message)
	}
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
