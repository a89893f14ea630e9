package originlink

import (
	"crypto/sha256"
	"encoding/hex"
	"unicode/utf8"
)

// maxKeyBytes is the length up to which an attempt id is its own key.
const maxKeyBytes = 128

// keyOf returns the key by which instances know an attempt. Callers choose their ids: one that no
// message can carry, or that fills it, would keep back the origins of others that are sent with it.
func keyOf(attempt string) string {
	if len(attempt) <= maxKeyBytes && utf8.ValidString(attempt) {
		return attempt
	}
	sum := sha256.Sum256([]byte(attempt))
	return hex.EncodeToString(sum[:])
}
