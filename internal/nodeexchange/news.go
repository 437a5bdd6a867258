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
	// maxNews is the largest message of changes in bytes.
	maxNews = 8 << 10
	// maxUnpackedNews bounds the size of such a message when decompressed.
	maxUnpackedNews = 1 << 20
)

// packNews encodes and compresses changes of a table, so that a configuration of fifty routes
// fits in a datagram.
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

// unpackNews decodes the result of packNews.
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
		return tablefeed.News{}, eris.Errorf("decompressed news exceed %d bytes", maxUnpackedNews)
	}
	var news tablefeed.News
	err = json.Unmarshal(content, &news)
	return news, err
}
