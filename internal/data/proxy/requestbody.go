package proxy

import "io"

// Sizes of the segments of a body, in bytes. A body with a length has segments of the largest size and a rest. The segments of
// a chunked body double from the first size to the largest, so that at most half of its memory is unused.
const (
	firstSegmentBytes   = 4 << 10
	largestSegmentBytes = 64 << 10
)

// requestBody is the body of a request in memory, from which it can be sent more than once. It grows by segments, so that
// its memory can be reserved before each of them is read, and nothing is copied.
type requestBody struct {
	segments [][]byte
	length   int64
}

// nextSegmentBytes returns the size of the next segment of a chunked body.
func (b *requestBody) nextSegmentBytes() int64 {
	return min(max(b.length, firstSegmentBytes), largestSegmentBytes)
}

// append adds a segment.
func (b *requestBody) append(segment []byte) {
	b.segments = append(b.segments, segment)
	b.length += int64(len(segment))
}

// newReader returns a reader of the body from its beginning.
func (b *requestBody) newReader() io.ReadCloser { return &bodyReader{remaining: b.segments} }

// bodyReader reads the segments of a body. net/http can't rewind it, so that net/http can't resend a request on its own.
type bodyReader struct {
	remaining [][]byte // segments that aren't read yet
	offset    int      // bytes of the first of them that are read already
}

// Read reads a part of one segment.
func (r *bodyReader) Read(buffer []byte) (n int, err error) {
	for len(r.remaining) > 0 && r.offset == len(r.remaining[0]) {
		r.remaining, r.offset = r.remaining[1:], 0
	}
	if len(r.remaining) == 0 {
		return 0, io.EOF
	}
	n = copy(buffer, r.remaining[0][r.offset:])
	r.offset += n
	return n, nil
}

// Close does nothing: the body is kept in memory for possible retries.
func (*bodyReader) Close() error { return nil }
