// Package http1 reads HTTP/1.1 messages on both sides of a connection (RFC 9112). It reads a message completely or not
// at all, rejects messages that two readers could frame differently, and bounds the memory of a message. It handles the
// syntax of messages only and sets no policy.
package http1

import (
	"fmt"
	"io"
)

// Bounds of a message. A longer head or body, or a head with more fields, is rejected.
const (
	MaxHead   = 8 << 10
	MaxFields = 64
	MaxBody   = 64 << 10
	// maxInterim is the number of 1xx answers that are skipped before a final answer.
	maxInterim = 8
	// UnknownLength stands for the length of a head, and of a body in chunks or up to the end of the connection.
	UnknownLength = -1
	// InitialBuffer is the size of a reader's buffer, in bytes, while it reads no longer message.
	InitialBuffer = 1 << 10
	// MaxShortBody is the length of the longest body, in bytes, whose slices may become invalid with the next message.
	// The buffer of a longer one is never used again.
	MaxShortBody = 8 << 10
	// chunkOverhead is the room, in bytes, for the end of a body in chunks behind its data.
	chunkOverhead = 64
)

// Error reports a message that violates the syntax or the bounds. Status is the status with which a server answers it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func newError(status int, format string, a ...any) error {
	return &Error{status, fmt.Sprintf(format, a...)}
}

// Reader reads messages from one connection.
type Reader struct {
	// Reserve is called before the reader allocates a buffer of more than InitialBuffer bytes for the current message, and
	// reports whether it may; nil: it always may. size is the length of the buffer and of the one that it replaces, in bytes,
	// as slices of the message keep that.
	// missing is how many bytes of the message have not been read from the connection, or UnknownLength.
	Reserve func(size, missing int) bool

	src io.Reader
	buf []byte // data that was read; the current message begins at 0
	pos int    // offset of the data after the current message
}

// NewReader returns a reader of the messages in src.
func NewReader(src io.Reader) *Reader { return &Reader{src: src, buf: make([]byte, 0, InitialBuffer)} }

// Buffered returns the number of bytes that were read after the current message.
func (r *Reader) Buffered() int { return len(r.buf) - r.pos }

// Wait returns once data after the current message was read, or with the error that ended the connection. The message
// remains valid.
func (r *Reader) Wait() error {
	for r.Buffered() == 0 {
		if cap(r.buf)-len(r.buf) < 128 || cap(r.buf) > InitialBuffer {
			r.Drop() // the slices of the message keep the old array
		}
		if err := r.read(); err != nil {
			return err
		}
	}
	return nil
}

// Drop replaces the buffer, with all that was read, by one of InitialBuffer bytes. The message remains valid.
func (r *Reader) Drop() { r.buf, r.pos = make([]byte, 0, InitialBuffer), 0 }

// BufferSize returns the size of the buffer in bytes.
func (r *Reader) BufferSize() int { return cap(r.buf) }

func (r *Reader) read() error {
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// fill reads more data and grows the buffer up to limit bytes.
func (r *Reader) fill(limit int) error {
	if len(r.buf) == cap(r.buf) {
		if len(r.buf) >= limit {
			return io.ErrShortBuffer
		}
		if err := r.grow(min(2*cap(r.buf), limit), UnknownLength); err != nil {
			return err
		}
	}
	return r.read()
}

// grow replaces the buffer by one of the given size, if it is smaller. missing is as for Reserve.
func (r *Reader) grow(size, missing int) error {
	if size <= cap(r.buf) {
		return nil
	}
	if size > InitialBuffer && r.Reserve != nil && !r.Reserve(size+cap(r.buf), missing) {
		return newError(503, "no room for a message of %d bytes", size)
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	return nil
}

// discardMessage removes the current message from the buffer.
func (r *Reader) discardMessage() {
	rest := r.buf[r.pos:]
	if r.pos == 0 {
		return
	}
	if cap(r.buf) > InitialBuffer && len(rest) <= InitialBuffer {
		r.buf = append(make([]byte, 0, InitialBuffer), rest...)
	} else {
		r.buf = r.buf[:copy(r.buf, rest)]
	}
	r.pos = 0
}

// ReadRequest reads the next request. An [*Error] reports an invalid request; any other error ended the connection.
func (r *Reader) ReadRequest(m *Message) error {
	r.discardMessage()
	head, err := r.readHead()
	if err != nil {
		return err
	}
	if err := m.parseRequest(head); err != nil {
		return err
	}
	return r.readBody(m, len(head))
}

// ReadAnswer reads the next answer with its body. It skips 1xx answers.
func (r *Reader) ReadAnswer(m *Message) error {
	if err := r.ReadAnswerHead(m); err != nil {
		return err
	}
	return r.readBody(m, r.pos)
}

// ReadAnswerHead reads the head of the next answer. The body is read with [Reader.BodyReader].
func (r *Reader) ReadAnswerHead(m *Message) error {
	for i := 0; ; i++ {
		r.discardMessage()
		head, err := r.readHead()
		if err != nil {
			return err
		}
		if err := m.parseAnswer(head); err != nil {
			return err
		}
		r.pos = len(head)
		if m.Status >= 200 {
			return nil
		}
		if m.Status == 101 || i >= maxInterim {
			return newError(502, "too many interim answers, or one that changes the protocol")
		}
	}
}

// readHead reads up to the empty line after a head. It fails at the first byte that cannot be part of a head.
func (r *Reader) readHead() ([]byte, error) {
	lineStart := 0 // offset of the current line
	for i := 0; ; i++ {
		for i >= len(r.buf) {
			if i >= MaxHead {
				return nil, newError(431, "the head is longer than %d bytes", MaxHead)
			}
			if err := r.fill(MaxHead); err != nil {
				if err == io.EOF && i > 0 {
					err = io.ErrUnexpectedEOF
				}
				return nil, err
			}
		}
		switch c := r.buf[i]; {
		case c == '\n':
			if i == lineStart || r.buf[i-1] != '\r' {
				return nil, newError(400, "a line of the head ends without CR")
			}
			if i == lineStart+1 {
				if lineStart == 0 {
					return nil, newError(400, "the head is empty")
				}
				return r.buf[:i+1], nil
			}
			lineStart = i + 1
		case i > lineStart && r.buf[i-1] == '\r':
			return nil, newError(400, "a CR within a line of the head")
		case c == '\r' || c == '\t' || c >= 0x20 && c < 0x7f:
		default:
			return nil, newError(400, "byte %#x in the head", c)
		}
	}
}
