package ledger

import (
	"encoding/hex"
	"strings"
	"time"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// maxKeyTimeAhead is how far a key's time may be ahead of the ledger's.
	maxKeyTimeAhead = time.Hour

	uuidLength = 36
	// keyTimeDigits is the number of hexadecimal digits of the time in a version 7
	// UUID.
	keyTimeDigits = 12
)

// keyTime returns the time in Unix milliseconds that a key carries. Only keys that
// are version 7 UUIDs (RFC 9562) carry one.
func keyTime(key string) (int64, bool) {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' || key[14] != '7' {
		return 0, false
	}
	digits := strings.ReplaceAll(key, "-", "")
	raw, err := hex.DecodeString(digits)
	if err != nil {
		return 0, false
	}
	var ms int64
	for _, b := range raw[:keyTimeDigits/2] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// checkKeyTime refuses a key with a time in the future: its own time would refuse
// it only long after its entry has been dropped.
func (l *Ledger) checkKeyTime(key string) error {
	createdMs, timed := keyTime(key)
	if !timed || createdMs <= l.nowMs+maxKeyTimeAhead.Milliseconds() {
		return nil
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST,
		"the time in the Idempotency-Key lies more than an hour ahead; set the caller's clock",
		fault.WithNotRun(lilacv1.NotRun_NOT_RUN_TRUE))
}

func isTimed(key string) bool {
	_, timed := keyTime(key)
	return timed
}
