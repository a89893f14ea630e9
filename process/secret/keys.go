package secret

import (
	"crypto/subtle"
	"strings"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Keys are the keys that lilacbridge's own processes share. The first one proves
// what this process says, each of them is taken as proof of another's. So a key
// is replaced without a moment at which two processes refuse each other.
type Keys [][]byte

// ReadKeys reads one key a line; empty lines and lines that begin with # are skipped.
func ReadKeys(file string) (Keys, error) {
	data, err := readPrivate(file)
	if err != nil {
		return nil, err
	}
	var keys Keys
	for number, line := range strings.Split(string(data), "\n") {
		key := strings.TrimSpace(line)
		if key == "" || strings.HasPrefix(key, "#") {
			continue
		}
		if len(key) < minKeyBytes {
			return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s:%d: the key has fewer than %d bytes; write a longer random key", file, number+1, minKeyBytes)
		}
		keys = append(keys, []byte(key))
	}
	if len(keys) == 0 {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "key file %s holds no key; write a random one of at least %d bytes", file, minKeyBytes)
	}
	return keys, nil
}

// OpenKeys reads the keys of the file, or takes the key itself where that is set.
func OpenKeys(file, key string) (*Reloadable[Keys], error) {
	if key != "" {
		return Fixed(Keys{[]byte(key)}), nil
	}
	return Open(file, ReadKeys)
}

// Contains tells whether the key is one of them, in a time that does not depend on
// the keys' bytes.
func (k Keys) Contains(key []byte) bool {
	found := 0
	for _, own := range k {
		found |= subtle.ConstantTimeCompare(own, key)
	}
	return found == 1
}

// StaticKeys returns a source of keys that never change.
func StaticKeys(keys ...[]byte) func() Keys {
	return func() Keys { return keys }
}
