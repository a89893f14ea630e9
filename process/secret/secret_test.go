package secret

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func write(t *testing.T, text string, mode os.FileMode) string {
	file := filepath.Join(t.TempDir(), "keys")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), mode))
	return file
}

// A caller replaces the team in its token by another team. The token must be rejected.
func TestTokenIsValidForOneTeam(t *testing.T) {
	is := is.New(t)
	key := []byte("0123456789abcdef")
	token := CallerToken(key, "coop.west")
	team, ok := TeamOf(key, token)
	is.True(ok)
	is.Equal(team, "coop.west")
	for _, forged := range []string{"coop.east" + token[len("coop.west"):], token[:len(token)-1], "coop.west.", "", ".", CallerToken([]byte("another key that is long"), "coop.west")} {
		_, ok := TeamOf(key, forged)
		is.True(!ok)
	}
}

func TestKeyFileMustBePrivateAndLongEnough(t *testing.T) {
	is := is.New(t)
	_, err := ReadKey(write(t, "0123456789abcdef\n", 0o644))
	is.True(err != nil) // readable by others
	_, err = ReadKey(write(t, "short\n", 0o600))
	is.True(err != nil)
	key, err := ReadKey(write(t, "0123456789abcdef\n", 0o600))
	is.NoErr(err)
	is.Equal(len(key), 16)
}

func TestReadKeysReadsOnePerLine(t *testing.T) {
	is := is.New(t)
	keys, err := ReadKeys(write(t, "# the new one first\nfedcba9876543210\n\n0123456789abcdef\r\n", 0o600))
	is.NoErr(err)
	is.Equal(keys, Keys{[]byte("fedcba9876543210"), []byte("0123456789abcdef")})
	is.True(keys.Contains([]byte("0123456789abcdef")))
	is.True(!keys.Contains([]byte("0123456789abcdeg")))
	is.True(!keys.Contains(nil))
	for _, wrong := range []string{"", "# none\n", "fedcba9876543210\nshort\n"} {
		_, err := ReadKeys(write(t, wrong, 0o600))
		is.True(err != nil)
	}
}

func TestOperators(t *testing.T) {
	is := is.New(t)
	operators, err := ReadOperators(write(t, "# name token\nop-1 0123456789abcdef\nop-2 fedcba9876543210\n", 0o600))
	is.NoErr(err)
	who, ok := operators.ByToken("fedcba9876543210")
	is.True(ok)
	is.Equal(who, "op-2")
	_, ok = operators.ByToken("fedcba9876543211")
	is.True(!ok)
	_, err = ReadOperators(write(t, "op-1\n", 0o600))
	is.True(err != nil)
}

// A tokens file with an error is reloaded. The previous tokens must stay in force until
// the file is corrected.
func TestInvalidFileKeepsPreviousTokens(t *testing.T) {
	is := is.New(t)
	file := write(t, "op-1 0123456789abcdef\n", 0o600)
	operators, err := Open(file, ReadOperators)
	is.NoErr(err)
	is.NoErr(os.WriteFile(file, []byte("op-1\n"), 0o600))
	is.True(operators.Reload() != nil)
	_, ok := operators.Get().ByToken("0123456789abcdef")
	is.True(ok)
	is.NoErr(os.WriteFile(file, []byte("op-1 fedcba9876543210\n"), 0o600))
	is.NoErr(operators.Reload())
	_, ok = operators.Get().ByToken("0123456789abcdef")
	is.True(!ok)
}
