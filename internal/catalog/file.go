package catalog

import (
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"google.golang.org/protobuf/encoding/protojson"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/result"
)

// ReadFile reads a catalog from a YAML or JSON file that has the form of the Catalog message.
// Unknown fields are an error. It does not validate the catalog.
func ReadFile(path string) (*tinarchv1.Catalog, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, result.New(result.InvalidCatalog, "the configuration can't be read: %v", err)
	}
	return Parse(path, content)
}

// Parse decodes the content of a file. The path is only used in errors.
func Parse(path string, content []byte) (*tinarchv1.Catalog, error) {
	converted, err := yaml.YAMLToJSON(content)
	if err != nil {
		first, _, _ := strings.Cut(err.Error(), "\n")
		return nil, result.New(result.InvalidCatalog, "%s: %s", path, first)
	}
	catalog := &tinarchv1.Catalog{}
	if err := protojson.Unmarshal(converted, catalog); err != nil {
		return nil, result.New(result.InvalidCatalog, "%s: %s", path, describeDecodeError(err, content))
	}
	return catalog, nil
}

var (
	unknownField    = regexp.MustCompile(`unknown field "([^"]+)"`)
	invalidValue    = regexp.MustCompile(`invalid value for (\S+) field (\S+): (.*)$`)
	unexpectedToken = regexp.MustCompile(`unexpected token "?([^"]+)"?$`)
	jsonPosition    = regexp.MustCompile(`\(line \d+:\d+\): `)
	upperLetter     = regexp.MustCompile(`[A-Z]`)
)

// describeDecodeError returns a message that names the field and its line in the file; if the
// value has the wrong type, also the expected type and the value that was found. The decoder's
// own line numbers are useless to the reader, as they refer to the JSON to which the file was
// converted.
func describeDecodeError(err error, content []byte) string {
	message := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	message = jsonPosition.ReplaceAllString(strings.TrimPrefix(message, "proto: "), "")
	if match := unknownField.FindStringSubmatch(message); match != nil {
		return withLine(content, match[1]+":", message)
	}
	if match := invalidValue.FindStringSubmatch(message); match != nil {
		field := snakeCase(match[2])
		return withLine(content, field+":", fmt.Sprintf("field %s wants %s, not %s", field, match[1], match[3]))
	}
	if match := unexpectedToken.FindStringSubmatch(message); match != nil {
		return withLine(content, match[1], fmt.Sprintf("a list or an object is wanted, not %q", match[1]))
	}
	return message
}

// withLine prefixes message with the number of the first line that contains text.
func withLine(content []byte, text, message string) string {
	for number, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, text) {
			return fmt.Sprintf("line %d: %s", number+1, message)
		}
	}
	return message
}

// snakeCase converts the JSON name of a field to its name in the schema.
func snakeCase(name string) string {
	return upperLetter.ReplaceAllStringFunc(name, func(letter string) string { return "_" + strings.ToLower(letter) })
}
