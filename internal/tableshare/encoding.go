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

// wireRow is the wire format of a row, one line of JSON. A value that is valid UTF-8 is sent as
// text: the entries of workers resemble each other, and compress to a tenth as text, but only
// to a third in base64.
type wireRow struct {
	Key     string            `json:"k"`
	Text    string            `json:"v,omitempty"`
	Bytes   []byte            `json:"b,omitempty"`
	Version tablefeed.Version `json:"r"`
	Gone    bool              `json:"g,omitempty"`
}

// maxUnpacked bounds the unpacked size of a table: 50,000 entries of 600 bytes.
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

// pack encodes rows as compressed JSON lines. It uses the fastest compression level: a node
// with a fifth of a core packs the table of a large fleet while its first neighbour waits for
// it.
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

// writers are reused, because a new one clears a megabyte of tables even for a few rows.
var writers = sync.Pool{New: func() any {
	writer, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // no error: the level is valid
	return writer
}}

// unpack decodes the output of pack.
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
