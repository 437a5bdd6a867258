package httpguard

import "io"

// firstPiece is how much is reserved for a body before any of it has come. What was announced is
// reserved as it comes.
const firstPiece = 16 << 10

// ReadAll reads a body of a known length, or until its end if the length is negative. It calls reserve with
// the size of each buffer, less that of the one before, before it allocates it.
func ReadAll(reader io.Reader, length int64, reserve func(bytes int64) error) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == length {
				return body, nil
			}
			var err error
			if body, err = grow(body, length, reserve); err != nil {
				return nil, err
			}
		}
		count, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == io.EOF && length >= 0 && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a body with at least twice the capacity, up to a known length.
func grow(body []byte, length int64, reserve func(bytes int64) error) ([]byte, error) {
	size := max(2*int64(cap(body)), firstPiece)
	if length >= 0 {
		size = min(size, length)
	}
	if err := reserve(size - int64(cap(body))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	return grown, nil
}
