package finding

import (
	"errors"
	"regexp"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// yamlLine finds the line in a message of the YAML library.
var yamlLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// FromYAML turns an error of the YAML library into findings with their lines.
func FromYAML(file string, err error) List {
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return List{fromYAMLLine(file, err.Error())}
	}
	var out List
	for _, message := range typed.Errors {
		out = append(out, fromYAMLLine(file, message))
	}
	return out
}

func fromYAMLLine(file, message string) Finding {
	m := yamlLine.FindStringSubmatch(message)
	if m == nil {
		return Finding{File: file, Message: message}
	}
	line, _ := strconv.Atoi(m[1])
	return Finding{File: file, Line: line, Column: 1, Message: m[2]}
}
