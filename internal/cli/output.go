// Package cli holds what the command-line programs share: parsing of arguments, output of
// results and errors, and authentication at a node.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	tinarchv1 "github.com/tinarch/tinarch/api/tinarch/v1"
	"github.com/tinarch/tinarch/internal/result"
)

// Format is the format in which results are printed.
type Format string

// The formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer prints results in a format.
type Printer struct {
	Out    io.Writer
	Format Format
}

// Message prints a message as JSON, or as a table whose rows the function table adds.
func (p Printer) Message(message proto.Message, table func(rows *Rows)) error {
	if p.Format == JSON {
		content, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true, Indent: "  "}.Marshal(message)
		if err != nil {
			return result.Wrap(err, result.Internal, "encoding the result")
		}
		_, err = fmt.Fprintln(p.Out, string(content))
		return err
	}
	rows := &Rows{writer: tabwriter.NewWriter(p.Out, 0, 4, 2, ' ', 0)}
	table(rows)
	return rows.writer.Flush()
}

// Value prints any value as indented JSON.
func (p Printer) Value(value any) error {
	encoder := json.NewEncoder(p.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Rows collects the rows of a table.
type Rows struct{ writer *tabwriter.Writer }

// Add adds a row with the given cells; an empty cell is printed as "-".
func (r *Rows) Add(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(r.writer, strings.Join(texts, "\t"))
}

// FromRPC converts a Connect error of a call to a node into one with a result code: the code
// that the node returned or, if the error has none, PeerUnavailable. The text "the node did not
// answer" then stands for all failures without a result code: no answer came, or the server at
// that address, which need not be a node, returned an error of its own. An error that isn't a
// connect.Error is returned unchanged.
func FromRPC(err error) error {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return err
	}
	for _, detail := range failure.Details() {
		value, valueErr := detail.Value()
		if valueErr != nil {
			continue
		}
		if described, ok := value.(*tinarchv1.ErrorDetail); ok {
			return &result.Error{Code: result.Code(described.GetCode()), Message: failure.Message(), Revision: described.GetCurrentRevision()}
		}
	}
	return result.New(result.PeerUnavailable, "the node did not answer: %s; check --server", failure.Message())
}
