package secret

import (
	"crypto/subtle"
	"strings"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// Keys are the keys that lilacbridge processes share. A process authenticates itself with
// the first key and accepts any of them from others. A key can therefore be replaced
// while all processes keep accepting each other.
type Keys [][]byte

// ReadKeys reads one key per line. Empty lines and lines that begin with # are ignored.
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
			return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "%s:%d: the key has fewer than %d bytes; use a longer random key", file, number+1, minKeyBytes)
		}
		keys = append(keys, []byte(key))
	}
	if len(keys) == 0 {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "key file %s has no key; add a random one of at least %d bytes", file, minKeyBytes)
	}
	return keys, nil
}

// OpenKeys reads the keys from file, or uses key instead if it is set.
func OpenKeys(file, key string) (*Reloadable[Keys], error) {
	if key != "" {
		return Fixed(Keys{[]byte(key)}), nil
	}
	return Open(file, ReadKeys)
}

// Contains reports whether key is one of the keys. It compares in constant time.
func (k Keys) Contains(key []byte) bool {
	found := 0
	for _, known := range k {
		found |= subtle.ConstantTimeCompare(known, key)
	}
	return found == 1
}

// StaticKeys returns a function that always returns the given keys.
func StaticKeys(keys ...[]byte) func() Keys {
	return func() Keys { return keys }
}
