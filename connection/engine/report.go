package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Load is a load report of an engine or service. Running, Waiting and Slots count requests.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// KVUsed is the used share of the KV cache, 0 to 1.
	KVUsed float64 `json:"kv_used"`
	// MeasuredUnixMs is the time of the measurement by the engine's wall clock.
	MeasuredUnixMs int64 `json:"measured_unix_ms"`
}

// CacheEvent reports changes of an engine's prefix cache: the hashes of the blocks stored
// and dropped, in hexadecimal. Cleared is set if the whole cache was dropped.
type CacheEvent struct {
	Sequence uint64   `json:"seq"`
	Stored   []string `json:"stored"`
	Dropped  []string `json:"dropped"`
	Cleared  bool     `json:"cleared"`
}

// Load reads the load report of an engine or service. bytes is the size of the response
// body, also if that does not decode.
func (c *Client) Load(ctx context.Context, address string) (load *Load, bytes int, err error) {
	load = &Load{}
	bytes, err = c.get(ctx, address, "/load", load)
	if err == nil && !load.plausible() {
		err = fmt.Errorf("load report of %s states %d running, %d waiting and %d slots", address, load.Running, load.Waiting, load.Slots)
	}
	return load, bytes, err
}

// maxLoad bounds the numbers of a load report, so that their sum is no other number.
const maxLoad = 1 << 20

func (l *Load) plausible() bool {
	return min(l.Running, l.Waiting, l.Slots) >= 0 && max(l.Running, l.Waiting, l.Slots) <= maxLoad
}

// CacheEvents reads the events after the sequence number, without those that can't be decoded: the
// gap in the sequence shows them. bytes is as in Load.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (events []CacheEvent, bytes int, err error) {
	var reply struct {
		Events []json.RawMessage `json:"events"`
	}
	bytes, err = c.get(ctx, address, "/cache/events?after="+strconv.FormatUint(after, 10), &reply)
	for _, raw := range reply.Events {
		var event CacheEvent
		if json.Unmarshal(raw, &event) == nil && event.Sequence != 0 {
			events = append(events, event)
		}
	}
	return events, bytes, err
}

func (c *Client) get(ctx context.Context, address, path string, into any) (bytes int, err error) {
	data, err := c.control(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return len(data), err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return len(data), fmt.Errorf("decode report of %s%s: %w", address, path, err)
	}
	return len(data), nil
}

// Blocks parses hexadecimal block hashes and skips invalid ones.
func Blocks(texts []string) []uint64 {
	blocks := make([]uint64, 0, len(texts))
	for _, text := range texts {
		if block, err := strconv.ParseUint(text, 16, 64); err == nil {
			blocks = append(blocks, block)
		}
	}
	return blocks
}
