package http1

import (
	"io"
)

// readBody reads the body that begins at an offset of the buffer, into the buffer.
func (r *Reader) readBody(m *Message, offset int) error {
	if m.UntilClose {
		return r.readToEnd(m, offset)
	}
	if m.bodyLength >= 0 {
		if m.bodyLength > MaxBody {
			return newError(413, "a body of %d bytes, more than %d", m.bodyLength, MaxBody)
		}
		end := offset + int(m.bodyLength)
		if err := r.grow(end, end-len(r.buf)); err != nil {
			return err
		}
		for len(r.buf) < end {
			if err := r.fill(end); err != nil {
				return unexpectedEOF(err)
			}
		}
		m.Body, r.pos = r.buf[offset:end:end], end
		return nil
	}
	// The data of the chunks is joined behind the head, up to end. Data that was not decoded yet begins at pos.
	end := offset
	r.pos = offset
	for {
		n, err := r.readChunkSize(end)
		if err != nil {
			return err
		}
		if n == 0 {
			m.Body = r.buf[offset:end:end]
			return nil
		}
		if end-offset+n > MaxBody {
			return newError(413, "the body is longer than %d bytes", MaxBody)
		}
		if end-offset+n > MaxShortBody {
			if err := r.grow(offset+MaxBody+chunkOverhead, UnknownLength); err != nil {
				return err
			}
		}
		for n > 0 {
			if r.Buffered() == 0 {
				if err := r.compact(end); err != nil {
					return err
				}
				continue
			}
			k := copy(r.buf[end:], r.buf[r.pos:min(r.pos+n, len(r.buf))])
			end, r.pos, n = end+k, r.pos+k, n-k
		}
		if err := r.expect(end, crlf); err != nil {
			return err
		}
	}
}

// readToEnd reads a body that ends when its sender closes the connection. A connection that breaks is an error.
func (r *Reader) readToEnd(m *Message, offset int) error {
	for {
		n := len(r.buf) - offset
		if n > MaxBody {
			return newError(413, "the body is longer than %d bytes", MaxBody)
		}
		if n > MaxShortBody {
			if err := r.grow(offset+MaxBody+1, UnknownLength); err != nil {
				return err
			}
		}
		if err := r.fill(offset + MaxBody + 1); err == io.EOF {
			m.Body, r.pos = r.buf[offset:len(r.buf):len(r.buf)], len(r.buf)
			return nil
		} else if err != nil {
			return err
		}
	}
}

// compact moves data that was not decoded yet down to end, and reads more.
func (r *Reader) compact(end int) error {
	r.buf = r.buf[:end+copy(r.buf[end:], r.buf[r.pos:])]
	r.pos = end
	return unexpectedEOF(r.fill(MaxHead + MaxBody + chunkOverhead))
}

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunkSize reads the line before a chunk's data. It returns 0 for the last chunk, after the empty trailer section.
func (r *Reader) readChunkSize(end int) (n int, err error) {
	for digits := 0; ; digits++ {
		for r.Buffered() == 0 {
			if err := r.compact(end); err != nil {
				return 0, err
			}
		}
		d := hexDigit(r.buf[r.pos])
		if d < 0 || digits == 8 {
			if digits == 0 || digits == 8 {
				return 0, newError(400, "the size of a chunk cannot be read")
			}
			break
		}
		n = n<<4 | d
		r.pos++
	}
	if err := r.expect(end, crlf); err != nil {
		return 0, err
	}
	if n == 0 {
		return 0, r.expect(end, crlf)
	}
	return n, nil
}

func (r *Reader) expect(end int, want []byte) error {
	for _, c := range want {
		for r.Buffered() == 0 {
			if err := r.compact(end); err != nil {
				return err
			}
		}
		if r.buf[r.pos] != c {
			return newError(400, "a chunk does not end where it should")
		}
		r.pos++
	}
	return nil
}

func hexDigit(c byte) int {
	switch {
	case '0' <= c && c <= '9':
		return int(c - '0')
	case 'a' <= c && c <= 'f':
		return int(c-'a') + 10
	case 'A' <= c && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// BodyReader returns a reader of the body of the answer whose head was read last.
func (r *Reader) BodyReader(m *Message) io.Reader {
	return &bodyStream{r: r, left: m.bodyLength, chunked: m.bodyLength < 0, toEnd: m.UntilClose}
}

type bodyStream struct {
	r        *Reader
	left     int64 // unread bytes of the current chunk or of the body
	chunked  bool
	toEnd    bool
	started  bool
	finished bool
}

func (s *bodyStream) Read(p []byte) (int, error) {
	r := s.r
	if s.chunked && s.left <= 0 && !s.finished {
		if s.started {
			if err := r.expect(0, crlf); err != nil {
				return 0, err
			}
		}
		s.started = true
		n, err := r.readChunkSize(0)
		if err != nil {
			return 0, err
		}
		s.left, s.finished = int64(n), n == 0
	}
	if s.toEnd {
		s.left = int64(len(p))
	}
	if s.left <= 0 {
		return 0, io.EOF
	}
	for r.Buffered() == 0 {
		if err := r.compact(0); err != nil {
			if s.toEnd && err == io.ErrUnexpectedEOF {
				err = io.EOF
			}
			return 0, err
		}
	}
	n := copy(p[:min(int64(len(p)), s.left)], r.buf[r.pos:])
	r.pos += n
	s.left -= int64(n)
	return n, nil
}
