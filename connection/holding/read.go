package holding

import (
	"bytes"
	"context"
	"io"
	"time"
)

// readStep is the room asked for at a time for a body of unknown length, bytes.
const readStep = 64 << 10

// ReadBody reads a body of the given length, which is negative if it is unknown, once there is room
// for it. It waits at most the given time for room, for each step if the length is unknown.
func (h *Hold) ReadBody(ctx context.Context, from io.Reader, length int64, wait time.Duration) ([]byte, error) {
	if length < 0 {
		return h.readInSteps(ctx, from, wait)
	}
	if err := h.Wait(ctx, Body, length, wait); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// readInSteps reads a body of unknown length in pieces, each held before it is read, and joins them
// once there is room for the whole beside them.
func (h *Hold) readInSteps(ctx context.Context, from io.Reader, wait time.Duration) ([]byte, error) {
	if h == nil {
		return io.ReadAll(from)
	}
	var pieces [][]byte
	var total int64
	for {
		if err := h.Wait(ctx, Body, readStep, wait); err != nil {
			return nil, err
		}
		var piece bytes.Buffer
		piece.Grow(readStep + bytes.MinRead)
		n, err := io.CopyN(&piece, from, readStep)
		h.Free(Body, readStep-n)
		total += n
		if err == io.EOF {
			// Without the rest of the buffer, which isn't held.
			pieces = append(pieces, bytes.Clone(piece.Bytes()))
			break
		}
		if err != nil {
			return nil, err
		}
		pieces = append(pieces, piece.Bytes())
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	if err := h.Wait(ctx, Body, total, wait); err != nil {
		return nil, err
	}
	defer h.Free(Body, total)
	return bytes.Join(pieces, nil), nil
}

// WaitToDecode holds room for what a text takes once it is decoded. If that would not even fit into an
// empty account, the text gets all that one owner may have, so that it is decoded by itself.
func (h *Hold) WaitToDecode(ctx context.Context, cost int64, wait time.Duration) error {
	if h == nil {
		return nil
	}
	rest := h.store.core.largest()
	for _, held := range h.Held() {
		rest -= held
	}
	return h.Wait(ctx, Body, min(cost, max(rest, 0)), wait)
}

// DecodeCost estimates the memory that a JSON text takes once it is decoded, in bytes, by the number
// of its objects and of its values.
func DecodeCost(text []byte, objectBytes, valueBytes int64) int64 {
	return int64(len(text)) + int64(bytes.Count(text, []byte{'{'}))*objectBytes + int64(bytes.Count(text, []byte{','}))*valueBytes
}
