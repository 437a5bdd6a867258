package tableshare

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

// rowForm is a row as it goes over the wire, a JSON line. A value that is text goes as such:
// entries of workers are alike, and compress to a tenth then, in base64 to a third.
type wireRow struct {
	Key     string            `json:"k"`
	Text    string            `json:"v,omitempty"`
	Bytes   []byte            `json:"b,omitempty"`
	Version tablefeed.Version `json:"r"`
	Gone    bool              `json:"g,omitempty"`
}

// maxUnpacked bounds what a table may unpack to: 50,000 entries of 600 bytes.
const maxUnpacked = 32 << 20

func encodeRow(row tablefeed.Row) wireRow {
	encoded := wireRow{Key: row.Key, Version: row.Version, Gone: row.Gone}
	if utf8.Valid(row.Value) {
		encoded.Text = string(row.Value)
	} else {
		encoded.Bytes = row.Value
	}
	return encoded
}

func (f wireRow) decode() tablefeed.Row {
	row := tablefeed.Row{Key: f.Key, Value: f.Bytes, Version: f.Version, Gone: f.Gone}
	if f.Bytes == nil && !f.Gone {
		row.Value = []byte(f.Text)
	}
	return row
}

// pack renders rows as compressed JSON lines. The fastest level is enough: a node with a
// fifth of a core packs a large fleet's table for its first neighbour to wait for it.
func pack(rows []tablefeed.Row) ([]byte, error) {
	var packed bytes.Buffer
	writer := writers.Get().(*gzip.Writer)
	defer writers.Put(writer)
	writer.Reset(&packed)
	lines := json.NewEncoder(writer)
	for _, row := range rows {
		if err := lines.Encode(encodeRow(row)); err != nil {
			return nil, err
		}
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// writers are used again: a new one clears a megabyte of tables for a few rows.
var writers = sync.Pool{New: func() any {
	writer, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // a level that exists: no error
	return writer
}}

// unpack reads what pack rendered.
func unpack(packed []byte) ([]tablefeed.Row, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "the copy of a table isn't compressed")
	}
	bounded := &io.LimitedReader{R: reader, N: maxUnpacked}
	lines := json.NewDecoder(bufio.NewReader(bounded))
	var rows []tablefeed.Row
	for {
		var encoded wireRow
		err := lines.Decode(&encoded)
		switch {
		case bounded.N <= 0:
			return nil, eris.Errorf("the copy of a table is larger than %d bytes", maxUnpacked)
		case err == io.EOF:
			return rows, nil
		case err != nil:
			return nil, eris.Wrap(err, "the copy of a table is malformed")
		}
		rows = append(rows, encoded.decode())
	}
}
