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

// ReadDocument reads and checks a document in JSON with comments. All problems
// found come back in an *InvalidError; text that is too long is a *SizeError.
func ReadDocument(text []byte) (Document, error) {
	return read(text, (*Document).check)
}

// ReadRouterSettings reads and checks the settings of a router, with errors as
// of ReadDocument.
func ReadRouterSettings(text []byte) (RouterSettings, error) {
	return read(text, (*RouterSettings).check)
}

// ReadAgentSettings reads and checks the settings of an agent, with errors as
// of ReadDocument.
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

func readFile[T any](path string, from func([]byte) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, fmt.Errorf("read %s: %w", path, err)
	}
	v, err := from(text)
	if err != nil {
		return v, fmt.Errorf("%s: %w", path, err)
	}
	return v, nil
}

// read fills a value of type T and checks it unless its text has problems.
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

// syntaxPlace is how the parser tells where an error is.
var syntaxPlace = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

func syntaxProblem(err error) Problem {
	p := Problem{Code: ProblemSyntax, Detail: err.Error()}
	place := syntaxPlace.FindStringSubmatch(p.Detail)
	if place == nil {
		return p
	}
	// The pattern lets only digits through.
	p.Line, _ = strconv.Atoi(place[1])
	p.Column, _ = strconv.Atoi(place[2])
	p.Detail = strings.TrimPrefix(p.Detail, place[0])
	return p
}

// ReadIngressSettings reads and checks the settings of an ingress, with errors
// as of ReadDocument.
func ReadIngressSettings(text []byte) (IngressSettings, error) {
	return read(text, (*IngressSettings).check)
}

// ReadSidecarSettings reads and checks the settings of a sidecar, with errors as
// of ReadDocument.
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
