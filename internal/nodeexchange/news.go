package nodeexchange

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/tinarch/tinarch/internal/tablefeed"
)

const (
	// maxNews bounds a message of changes.
	maxNews = 8 << 10
	// maxUnpackedNews bounds what such a message may unpack to.
	maxUnpackedNews = 1 << 20
)

// packNews renders changes of a table, compressed: a configuration of fifty routes
// fits a datagram then.
func packNews(news tablefeed.News) ([]byte, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if err := json.NewEncoder(writer).Encode(news); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// unpackNews reads what packNews rendered.
func unpackNews(packed []byte) (tablefeed.News, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return tablefeed.News{}, err
	}
	content, err := io.ReadAll(io.LimitReader(reader, maxUnpackedNews+1))
	switch {
	case err != nil:
		return tablefeed.News{}, err
	case len(content) > maxUnpackedNews:
		return tablefeed.News{}, eris.Errorf("news of more than %d bytes", maxUnpackedNews)
	}
	var news tablefeed.News
	err = json.Unmarshal(content, &news)
	return news, err
}
