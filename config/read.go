package config

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// ReadDocument decodes and checks a document in JSON with comments. It returns an
// *InvalidError with all problems found, or a *SizeError if text is longer than
// MaxDocumentBytes.
func ReadDocument(text []byte) (Document, error) {
	return read(text, (*Document).check)
}

// ReadRouterSettings decodes and checks the settings of a router. It returns the
// same errors as ReadDocument.
func ReadRouterSettings(text []byte) (RouterSettings, error) {
	return read(text, (*RouterSettings).check)
}

// ReadAgentSettings decodes and checks the settings of an agent. It returns the
// same errors as ReadDocument.
func ReadAgentSettings(text []byte) (AgentSettings, error) {
	return read(text, (*AgentSettings).check)
}

// ReadDocumentFile reads a file as ReadDocument does.
func ReadDocumentFile(path string) (Document, error) { return readFile(path, ReadDocument) }

// ReadRouterSettingsFile reads a file as ReadRouterSettings does.
func ReadRouterSettingsFile(path string) (RouterSettings, error) {
	return readFile(path, ReadRouterSettings)
}

// ReadAgentSettingsFile reads a file as ReadAgentSettings does.
func ReadAgentSettingsFile(path string) (AgentSettings, error) {
	return readFile(path, ReadAgentSettings)
}

func readFile[T any](path string, parse func([]byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, fmt.Errorf("read %s: %w", path, err)
	}
	v, err := parse(text)
	if err != nil {
		return v, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

// read decodes a value of type T and checks it if decoding found no problems.
func read[T any](text []byte, check func(*T, *checker)) (T, error) {
	var v T
	if len(text) > MaxDocumentBytes {
		return v, &SizeError{Bytes: len(text)}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return v, &InvalidError{Problems: []Problem{syntaxProblem(err)}}
	}
	c := &checker{positions: positions{text: text, offsets: map[string]int{"": root.StartOffset}}}
	d := &decoder{checker: c}
	d.decode(root, reflect.ValueOf(&v).Elem(), "")
	if len(c.problems) == 0 {
		check(&v, c)
	}
	return v, c.err()
}

// syntaxPosition matches the position in the parser's error messages.
var syntaxPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func syntaxProblem(err error) Problem {
	p := Problem{Code: ProblemSyntax, Detail: err.Error()}
	match := syntaxPosition.FindStringSubmatch(p.Detail)
	if match == nil {
		return p
	}
	// Both groups of the pattern match only digits.
	p.Line, _ = strconv.Atoi(match[1])
	p.Column, _ = strconv.Atoi(match[2])
	p.Detail = strings.TrimPrefix(p.Detail, match[0])
	return p
}

// ReadIngressSettings decodes and checks the settings of an ingress. It returns
// the same errors as ReadDocument.
func ReadIngressSettings(text []byte) (IngressSettings, error) {
	return read(text, (*IngressSettings).check)
}

// ReadSidecarSettings decodes and checks the settings of a sidecar. It returns
// the same errors as ReadDocument.
func ReadSidecarSettings(text []byte) (SidecarSettings, error) {
	return read(text, (*SidecarSettings).check)
}

// ReadIngressSettingsFile reads a file as ReadIngressSettings does.
func ReadIngressSettingsFile(path string) (IngressSettings, error) {
	return readFile(path, ReadIngressSettings)
}

// ReadSidecarSettingsFile reads a file as ReadSidecarSettings does.
func ReadSidecarSettingsFile(path string) (SidecarSettings, error) {
	return readFile(path, ReadSidecarSettings)
}
